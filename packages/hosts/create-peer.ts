import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {HostService} from '@sapphirefall/wire';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {Peer} from './peer.ts';

/**
 * Creates the client of another entry host.
 *
 * A call without an answer closes the connection, so that the next call does not use one that has gone silent.
 *
 * @param address URL of the host.
 * @param timeout Milliseconds to wait for an answer.
 */
export function createPeer(address: string, timeout: number): Peer {
	const sessions = new Http2SessionManager(address);
	const client = createClient(HostService, createConnectTransport({
		baseUrl: address, httpVersion: '2', sessionManager: sessions,
	}));
	const options = {timeoutMs: timeout};

	const guard = async <T>(call: Promise<T>): Promise<T> => {
		try {
			return await call;
		} catch (error) {
			sessions.abort();
			throw error;
		}
	};

	return {
		exchange: async content => decodeExchange(await guard(client.exchange(encodeExchange(content), options))),
		async confirm(database, term) {
			const {suspected} = await guard(client.confirm({database, term}, options));
			return suspected;
		},
	};
}
