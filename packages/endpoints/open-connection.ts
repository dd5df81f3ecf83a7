import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	BatchRequestSchema, createQueue, decodePoint, decodeResult, encodeStatement, EndpointFault, EndpointService,
	type BatchRequest, type BatchResponse,
} from '@sapphirefall/wire';
import type {Batch} from './batch.ts';
import type {BatchOutcome} from './batch-outcome.ts';
import type {Connection} from './connection.ts';

type Options = {
	/** Milliseconds between two heartbeats. */
	readonly heartbeatInterval: number;
	/** Milliseconds without any answer after which the connection counts as silent and is closed. */
	readonly silenceLimit: number;
	/** Called once when the connection is closed, by either side. */
	readonly onClosed: () => void;
};

const faults: Readonly<Record<EndpointFault, 'term' | 'statement' | 'busy' | undefined>> = {
	[EndpointFault.UNSPECIFIED]: undefined,
	[EndpointFault.TERM]: 'term',
	[EndpointFault.STATEMENT]: 'statement',
	[EndpointFault.BUSY]: 'busy',
};

/**
 * Opens a connection to an instance and waits until the instance answers on it.
 *
 * Answers are matched by number; one for a batch that is no longer awaited is dropped. Heartbeats find a
 * connection that has gone silent.
 *
 * @param address URL of the instance.
 * @param options Heartbeat times and what to do at the end.
 * @throws {Error} When the instance does not answer.
 */
export async function openConnection(address: string, options: Options): Promise<Connection> {
	const sessions = new Http2SessionManager(address);
	const client = createClient(EndpointService, createConnectTransport({
		baseUrl: address, httpVersion: '2', sessionManager: sessions,
	}));
	const requests = createQueue<BatchRequest>();
	const pending = new Map<number, (response: BatchResponse | undefined) => void>();
	const abort = new AbortController();
	let lastId = 0;
	let heardAt = performance.now();
	let isClosed = false;

	const close = () => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearInterval(heartbeat);
		requests.end();
		abort.abort();
		sessions.abort();
		for (const resolve of pending.values()) {
			resolve(undefined);
		}

		pending.clear();
		options.onClosed();
	};

	const send = async (request: Omit<Partial<BatchRequest>, '$typeName' | '$unknown' | 'id'>): Promise<BatchResponse | undefined> => {
		const id = ++lastId;
		return new Promise(resolve => {
			if (isClosed) {
				resolve(undefined);
				return;
			}

			pending.set(id, resolve);
			requests.push(create(BatchRequestSchema, {...request, id}));
		});
	};

	const beat = () => {
		if (performance.now() - heardAt > options.silenceLimit) {
			close();
		} else {
			void send({ping: true});
		}
	};

	const heartbeat = setInterval(beat, options.heartbeatInterval);

	const receive = async () => {
		try {
			for await (const response of client.connect(requests, {signal: abort.signal})) {
				heardAt = performance.now();
				pending.get(response.id)?.(response);
				pending.delete(response.id);
			}
		} catch {
			// The connection is closed below, which tells all who wait.
		} finally {
			close();
		}
	};

	void receive();
	const hello = await send({ping: true});
	if (hello === undefined) {
		throw new Error(`The instance at ${address} does not answer`);
	}

	return {
		async run(batch, signal) {
			if (signal.aborted) {
				close();
			}

			signal.addEventListener('abort', close, {once: true});
			try {
				return decodeOutcome(await send(encodeBatch(batch)));
			} finally {
				signal.removeEventListener('abort', close);
			}
		},
		close,
		isClosed: () => isClosed,
	};
}

function encodeBatch(batch: Batch): Omit<Partial<BatchRequest>, '$typeName' | '$unknown' | 'id'> {
	return {
		term: batch.term,
		readOnly: batch.isReadOnly,
		begin: batch.step === 'begin',
		commit: batch.step === 'commit',
		rollback: batch.step === 'rollback',
		statements: batch.statements.map(statement => encodeStatement(statement)),
	};
}

function decodeOutcome(response: BatchResponse | undefined): BatchOutcome {
	if (response === undefined) {
		return {kind: 'lost'};
	}

	const fault = faults[response.fault];
	return fault === undefined
		? {kind: 'ran', results: response.results.map(result => decodeResult(result)), at: decodePoint(response.at)}
		: {kind: 'refused', fault, message: response.message};
}
