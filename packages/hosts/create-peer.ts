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
	/** Milliseconds after which a control call is given up. */
	readonly timeoutMs: number;
	/** Milliseconds between heartbeats on the channel for forwarded requests. */
	readonly heartbeatInterval: number;
	/** Milliseconds without an answer after which that channel is closed; the next request opens a new one. */
	readonly silenceLimit: number;
	/** Milliseconds without a call after which a channel is closed. */
	readonly idleSpan: number;
	/** Hybrid logical clock; orders events of this host after those of other hosts that it has observed. */
	readonly clock: HybridClock;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
};

type Call = ControlRequest['call'];
type Kind = NonNullable<Call['case']>;
type AnswerValue<K extends Kind> = Extract<ControlResponse['answer'], {readonly case: K}>['value'];

/** Timeout in milliseconds of forwarding an operator's change, which the acceptor has to commit before it answers. */
const changeTimeoutMs = 4000;

/**
 * Creates a client for another host.
 *
 * Control calls share one channel and are answered in any order. A control call that times out closes the channel, so
 * that the next one does not use a dead channel. Forwarded requests have a channel of their own.
 *
 * @param address URL of the host.
 * @param options Timeouts, heartbeat interval and clocks.
 */
export function createPeer(address: string, options: Options): Peer {
	const sendControl = createHostChannel<typeof HostService, ControlRequest, ControlResponse>(address, {
		service: HostService,
		open: (client, requests, signal) => client.control(requests, {signal}),
		heartbeat: undefined,
		idleTimeoutMs: options.idleSpan,
		now: options.now,
	});

	/** Sends a control call and returns the answer, which is of the same kind; throws if there is none. */
	const send = async <K extends Kind>(call: Call & {readonly case: K}, timeoutMs = options.timeoutMs): Promise<AnswerValue<K>> => {
		const response = await runWithTimeout(timeoutMs, async signal =>
			sendControl(id => create(ControlRequestSchema, {id, call}), {signal, closesOnAbort: true}));
		if (response?.answer.case !== call.case) {
			throw new Error(`the host at ${address} sent no valid answer to a control call`);
		}

		return response.answer.value as unknown as AnswerValue<K>;
	};

	return {
		exchange: async content => decodeExchange(await send({case: 'exchange', value: encodeExchange(content)})),
		async borrow({isStandby, ...request}) {
			const value = create(BorrowRequestSchema, {...request, standby: isStandby, settled: [...request.settled]});
			const {
				home, units, spanMs, retryAfterMs,
			} = await send({case: 'borrow', value});
			return home ? {units, validMs: spanMs, retryAfter: retryAfterMs} : undefined;
		},
		async requestStandby(workspace) {
			await send({case: 'stand', value: create(StandRequestSchema, {workspace})});
		},
		async handOver(handover) {
			const loans = handover.loans.map(({remainingMs, ...loan}) => ({...loan, leftMs: Math.ceil(remainingMs)}));
			const {taken} = await send({case: 'handOver', value: create(HandOverRequestSchema, {...handover, loans})});
			return taken;
		},
		forward: createForwarder(address, options),
		passChange: async change => send({case: 'passChange', value: change}, changeTimeoutMs),
		async confirm(database, term) {
			const {suspected} = await send({case: 'confirm', value: create(ConfirmRequestSchema, {database, term})});
			return suspected;
		},
	};
}
