import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {HybridClock} from '@sapphirefall/events';
import {HostService} from '@sapphirefall/wire';
import {createForwarder} from './create-forwarder.ts';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {Peer} from './peer.ts';

type Options = {
	/** Milliseconds to wait for an answer to an exchange. */
	readonly timeout: number;
	/** Milliseconds between two heartbeats on the channel for requests. */
	readonly heartbeatInterval: number;
	/** Milliseconds without any answer after which that channel is replaced. */
	readonly silenceLimit: number;
	/** Orders what happens here after what the other host has seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
};

/** Milliseconds for an acceptor to commit a change. */
const changeTimeout = 4000;

/**
 * Creates the client of another entry host.
 *
 * A call without an answer closes the connection, so that the next call does not use one that has gone silent.
 *
 * @param address URL of the host.
 * @param options How long to wait for an answer, heartbeat times, and the clock.
 */
export function createPeer(address: string, options: Options): Peer {
	const forwarder = createForwarder(address, options);
	const sessions = new Http2SessionManager(address);
	const client = createClient(HostService, createConnectTransport({
		baseUrl: address, httpVersion: '2', sessionManager: sessions,
	}));
	const callOptions = {timeoutMs: options.timeout};

	const guard = async <T>(call: Promise<T>): Promise<T> => {
		try {
			return await call;
		} catch (error) {
			sessions.abort();
			throw error;
		}
	};

	return {
		exchange: async content => decodeExchange(await guard(client.exchange(encodeExchange(content), callOptions))),
		async borrow({isStandby, ...asked}) {
			const request = {...asked, standby: isStandby, settled: [...asked.settled]};
			const {home, units, spanMs, retryAfterMs} = await guard(client.borrow(request, callOptions));
			return home ? {units, span: spanMs, retryAfter: retryAfterMs} : undefined;
		},
		async stand(workspace) {
			await guard(client.stand({workspace}, callOptions));
		},
		async handOver(bucket) {
			const loans = bucket.loans.map(({left, ...loan}) => ({...loan, leftMs: Math.ceil(left)}));
			const {taken} = await guard(client.handOver({...bucket, loans}, callOptions));
			return taken;
		},
		forward: forwarder.forward,
		passChange: async change => guard(client.passChange(change, {timeoutMs: changeTimeout})),
		async confirm(database, term) {
			const {suspected} = await guard(client.confirm({database, term}, callOptions));
			return suspected;
		},
	};
}
