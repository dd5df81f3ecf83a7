import type {UnservedOutcome} from '../waiting/unserved-outcome.ts';
import type {PooledConnection} from './pooled-connection.ts';

/** The outcome of acquiring a connection from a pool. */
export type AcquireOutcome =
	| {
		readonly kind: 'acquired';
		readonly connection: PooledConnection;
		/** Milliseconds spent on opening the connection; 0 if an idle one was reused. */
		readonly openMs: number;
	}
	/** All connections are in use, or the instance refused a new one or could not be reached. */
	| UnservedOutcome;
