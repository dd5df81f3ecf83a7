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
	/** Milliseconds between two heartbeats. */
	readonly heartbeatInterval: number;
	/** Milliseconds without any answer after which the channel counts as silent and is replaced. */
	readonly silenceLimit: number;
	/** Milliseconds without a request after which the channel is closed. */
	readonly idleSpan: number;
	/** Orders what happens here after what the other host has seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
};

/**
 * Creates what sends admitted requests to another host, all over one channel.
 *
 * @param address URL of the host.
 * @param options Heartbeat times and the clock.
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
