import type {PooledConnection} from './pooled-connection.ts';

/** The outcome of acquiring a connection from a pool. */
export type AcquireOutcome =
	| {
		readonly kind: 'acquired';
		readonly connection: PooledConnection;
		/** Milliseconds spent on opening the connection; 0 if an idle one was reused. */
		readonly openMs: number;
	}
	/** All connections are in use, or the instance refused a new one. */
	| {
		readonly kind: 'busy';
		/** Number of requests before it, if it was refused because it could not be served in time. */
		readonly ahead?: number;
		/** Milliseconds after which there is room for the request, if that is known. */
		readonly retryAfterMs?: number | undefined;
	}
	/** The instance could not be reached, or answered that it has moved. */
	| {readonly kind: 'unreachable'};
