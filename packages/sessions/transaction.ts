import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Query} from './query.ts';

/** A transaction of a session; its connection is its own until it ends. */
export type Transaction = {
	/** Runs a read or write; after a failure the transaction is over. */
	readonly run: (query: Query, operation: Operation) => Promise<StatementOutcome>;
	readonly commit: (commit: {readonly id: string; readonly text: string}, operation: Operation) => Promise<StatementOutcome>;
	/** Rolls back and gives the connection back, without waiting. */
	readonly rollBack: () => void;
	/** Why the transaction was ended from this side, if it was. */
	readonly endReason: () => string | undefined;
};
