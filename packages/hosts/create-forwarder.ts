import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {HybridClock} from '@sapphirefall/events';
import {
	ForwardRequestSchema, HostService, openChannel, type Channel, type ForwardRequest, type ForwardResponse,
} from '@sapphirefall/wire';
import {decodeForwardAnswer} from './decode-forward-answer.ts';
import {encodeForward} from './encode-forward.ts';
import type {Forwarder} from './forwarder.ts';

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
 * Creates the forwarder to another host; a channel that has closed is replaced at the next request.
 *
 * @param address URL of the host.
 * @param options Heartbeat times and the clock.
 */
export function createForwarder(address: string, options: Options): Forwarder {
	let channel: Channel<ForwardRequest, ForwardResponse> | undefined;

	const open = () => {
		const sessions = new Http2SessionManager(address);
		const client = createClient(HostService, createConnectTransport({
			baseUrl: address, httpVersion: '2', sessionManager: sessions,
		}));
		return openChannel<ForwardRequest, ForwardResponse>({
			open: (requests, signal) => client.forward(requests, {signal}),
			heartbeat: {
				createPing: id => create(ForwardRequestSchema, {id, ping: true}),
				interval: options.heartbeatInterval,
				silenceLimit: options.silenceLimit,
			},
			idleSpan: options.idleSpan,
			now: options.now,
			onClosed() {
				sessions.abort();
			},
		});
	};

	return {
		async forward(request, signal) {
			if (channel?.isClosed() !== false) {
				channel = open();
			}

			const encode = (id: number) => encodeForward(request, {id, time: options.clock.tick(), now: options.now()});
			const response = await channel.send(encode, {signal, closesOnAbort: false});
			if (response === undefined) {
				return undefined;
			}

			options.clock.observe(response.time);
			return decodeForwardAnswer(response);
		},
		close() {
			channel?.close();
		},
	};
}
