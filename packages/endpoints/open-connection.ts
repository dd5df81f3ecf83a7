import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	BatchRequestSchema, decodePoint, decodeResult, encodeStatement, EndpointFault, EndpointService, openChannel,
	type BatchRequest, type BatchResponse,
} from '@sapphirefall/wire';
import type {Batch} from './batch.ts';
import type {BatchOutcome} from './batch-outcome.ts';
import type {Connection} from './connection.ts';

type Options = {
	/** Milliseconds between two heartbeats. */
	readonly heartbeatInterval: number;
	/** Milliseconds without any answer after which the connection is closed. */
	readonly silenceLimit: number;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Called once when the connection is closed, by either side. */
	readonly onClosed: () => void;
};

const faultNames: Readonly<Record<EndpointFault, 'term' | 'statement' | 'busy' | undefined>> = {
	[EndpointFault.UNSPECIFIED]: undefined,
	[EndpointFault.TERM]: 'term',
	[EndpointFault.STATEMENT]: 'statement',
	[EndpointFault.BUSY]: 'busy',
};

/**
 * Opens a connection to an instance and waits until the instance answers on it.
 *
 * @param address URL of the instance.
 * @param options Heartbeat interval and timeout, the clock, and the callback for the close of the connection.
 * @throws {Error} When the instance does not answer the first ping.
 */
export async function openConnection(address: string, options: Options): Promise<Connection> {
	const sessions = new Http2SessionManager(address);
	const client = createClient(EndpointService, createConnectTransport({
		baseUrl: address, httpVersion: '2', sessionManager: sessions,
	}));
	const channel = openChannel<BatchRequest, BatchResponse>({
		open: (requests, signal) => client.connect(requests, {signal}),
		heartbeat: {createPing, intervalMs: options.heartbeatInterval, timeoutMs: options.silenceLimit},
		idleTimeoutMs: undefined,
		now: options.now,
		onClosed() {
			sessions.abort();
			options.onClosed();
		},
	});
	const firstAnswer = await channel.send(createPing, {closesOnAbort: true});
	if (firstAnswer === undefined) {
		throw new Error(`The instance at ${address} does not answer the first ping`);
	}

	return {
		async run(batch, signal) {
			// The state of the transaction is unknown when its answer was abandoned, so the connection must not be reused.
			return decodeOutcome(await channel.send(id => encodeBatch(batch, id), {signal, closesOnAbort: true}));
		},
		close: channel.close,
		isClosed: channel.isClosed,
	};
}

function createPing(id: number): BatchRequest {
	return create(BatchRequestSchema, {id, ping: true});
}

function encodeBatch(batch: Batch, id: number): BatchRequest {
	return create(BatchRequestSchema, {
		id,
		term: batch.term,
		readOnly: batch.isReadOnly,
		begin: batch.step === 'begin',
		commit: batch.step === 'commit',
		rollback: batch.step === 'rollback',
		statements: batch.statements.map(statement => encodeStatement(statement)),
	});
}

function decodeOutcome(response: BatchResponse | undefined): BatchOutcome {
	if (response === undefined) {
		return {kind: 'lost'};
	}

	const fault = faultNames[response.fault];
	return fault === undefined
		? {kind: 'ran', results: response.results.map(result => decodeResult(result)), point: decodePoint(response.at)}
		: {kind: 'refused', fault, message: response.message};
}
