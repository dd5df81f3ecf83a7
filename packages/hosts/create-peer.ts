import {create} from '@bufbuild/protobuf';
import type {HybridClock} from '@sapphirefall/events';
import {
	BorrowRequestSchema, ConfirmRequestSchema, ControlRequestSchema, HandOverRequestSchema, HostService, runWithTimeout,
	StandRequestSchema, type ControlRequest, type ControlResponse,
} from '@sapphirefall/wire';
import {createForwarder} from './create-forwarder.ts';
import {createHostChannel} from './create-host-channel.ts';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {Peer} from './peer.ts';

type Options = {
	/** Milliseconds to wait for an answer. */
	readonly timeoutMs: number;
	/** Milliseconds between two heartbeats on the channel for requests. */
	readonly heartbeatInterval: number;
	/** Milliseconds without any answer after which that channel is replaced. */
	readonly silenceLimit: number;
	/** Milliseconds without a call after which a channel is closed. */
	readonly idleSpan: number;
	/** Orders what happens here after what the other host has seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
};

type Call = ControlRequest['call'];
type Kind = NonNullable<Call['case']>;
type AnswerValue<K extends Kind> = Extract<ControlResponse['answer'], {readonly case: K}>['value'];

/** Milliseconds for an acceptor to commit a change. */
const changeTimeout = 4000;

/**
 * Creates the client of another entry host.
 *
 * Calls share one channel and are answered in any order. A call without an answer closes it, so that the next one
 * does not use a channel that has gone silent. Requests have a channel of their own.
 *
 * @param address URL of the host.
 * @param options How long to wait for an answer, heartbeat times, and the clocks.
 */
export function createPeer(address: string, options: Options): Peer {
	const sendControl = createHostChannel<typeof HostService, ControlRequest, ControlResponse>(address, {
		service: HostService,
		open: (client, requests, signal) => client.control(requests, {signal}),
		heartbeat: undefined,
		idleSpan: options.idleSpan,
		now: options.now,
	});

	/** Makes a call; the answer to it is of the same kind. */
	const send = async <K extends Kind>(call: Call & {readonly case: K}, timeout = options.timeoutMs): Promise<AnswerValue<K>> => {
		const response = await runWithTimeout(timeout, async signal =>
			sendControl(id => create(ControlRequestSchema, {id, call}), {signal, closesOnAbort: true}));
		if (response?.answer.case !== call.case) {
			throw new Error(`The host at ${address} does not answer`);
		}

		return response.answer.value as unknown as AnswerValue<K>;
	};

	return {
		exchange: async content => decodeExchange(await send({case: 'exchange', value: encodeExchange(content)})),
		async borrow({isStandby, ...asked}) {
			const value = create(BorrowRequestSchema, {...asked, standby: isStandby, settled: [...asked.settled]});
			const {
				home, units, spanMs, retryAfterMs,
			} = await send({case: 'borrow', value});
			return home ? {units, validMs: spanMs, retryAfter: retryAfterMs} : undefined;
		},
		async requestStandby(workspace) {
			await send({case: 'stand', value: create(StandRequestSchema, {workspace})});
		},
		async handOver(bucket) {
			const loans = bucket.loans.map(({remainingMs, ...loan}) => ({...loan, leftMs: Math.ceil(remainingMs)}));
			const {taken} = await send({case: 'handOver', value: create(HandOverRequestSchema, {...bucket, loans})});
			return taken;
		},
		forward: createForwarder(address, options),
		passChange: async change => send({case: 'passChange', value: change}, changeTimeout),
		async confirm(database, term) {
			const {suspected} = await send({case: 'confirm', value: create(ConfirmRequestSchema, {database, term})});
			return suspected;
		},
	};
}
