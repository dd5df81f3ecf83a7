import {create} from '@bufbuild/protobuf';
import type {HybridClock} from '@sapphirefall/events';
import {
	ForwardRequestSchema, type ForwardRequest, type ForwardResponse, HostService,
} from '@sapphirefall/wire';
import {createHostChannel} from './create-host-channel.ts';
import {decodeForwardAnswer} from './decode-forward-answer.ts';
import {encodeForward} from './encode-forward.ts';
import type {Peer} from './peer.ts';

type Options = {
	/** Milliseconds between heartbeats. */
	readonly heartbeatInterval: number;
	/** Milliseconds without an answer after which the channel is closed; the next request opens a new one. */
	readonly silenceLimit: number;
	/** Milliseconds without a request after which the channel is closed. */
	readonly idleSpan: number;
	/** Hybrid logical clock; orders events of this host after those of other hosts that it has observed. */
	readonly clock: HybridClock;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
};

/**
 * Creates a function that forwards admitted requests to another host, all over one channel.
 *
 * @param address URL of the host.
 * @param options Heartbeat interval and timeout, idle timeout and clocks.
 */
export function createForwarder(address: string, options: Options): Peer['forward'] {
	const send = createHostChannel<typeof HostService, ForwardRequest, ForwardResponse>(address, {
		service: HostService,
		open: (client, requests, signal) => client.forward(requests, {signal}),
		heartbeat: {
			createPing: id => create(ForwardRequestSchema, {id, ping: true}),
			intervalMs: options.heartbeatInterval,
			timeoutMs: options.silenceLimit,
		},
		idleTimeoutMs: options.idleSpan,
		now: options.now,
	});

	return async (request, signal) => {
		const encode = (id: number) => encodeForward(request, {id, time: options.clock.tick(), now: options.now()});
		const response = await send(encode, {signal, closesOnAbort: false});
		if (response === undefined) {
			return undefined;
		}

		options.clock.observe(response.time);
		return decodeForwardAnswer(response);
	};
}
