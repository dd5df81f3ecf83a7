import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Query} from './query.ts';
import type {TransactionScope} from './transaction-scope.ts';

/** A transaction of a session, which holds a connection exclusively until it ends. */
export type Transaction = {
	/** Runs a read or write; a failure ends the transaction. */
	readonly run: (query: Query, operation: Operation) => Promise<StatementOutcome>;
	readonly commit: (commit: {readonly id: string; readonly text: string}, operation: Operation) => Promise<StatementOutcome>;
	/** Records that the session has set a value, which the connection of the transaction lacks until the next job. */
	readonly recordSet: () => void;
	/** Rolls back and releases the connection in the background. */
	readonly rollBack: () => void;
	/** Rolls back as `rollBack` does, because of the host, which tells the caller the reason with the next statement. */
	readonly end: (reason: string) => void;
	/** Returns what the operations of the transaction's statements are created with. */
	readonly scope: () => TransactionScope;
	/** Whether a write of the transaction was sent, so that its commit takes effect. */
	readonly hasWritten: () => boolean;
	/** Returns why the host ended the transaction; undefined if it did not. */
	readonly endReason: () => string | undefined;
};
