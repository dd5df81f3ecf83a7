import type {PooledConnection} from './pooled-connection.ts';

/** Whether a connection of a pool could be had. */
export type AcquireOutcome =
	| {
		readonly kind: 'acquired';
		readonly connection: PooledConnection;
		/** Milliseconds that opening it took; 0 for one that was open. */
		readonly openMs: number;
	}
	/** All connections are in use, or the instance takes no more. */
	| {readonly kind: 'busy'}
	| {readonly kind: 'unreachable'};
