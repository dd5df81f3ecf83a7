import {createFailure} from './create-failure.ts';
import {createTransaction} from './create-transaction.ts';
import {emptyResult} from './empty-result.ts';
import type {Operation} from './operation.ts';
import type {Query} from './query.ts';
import type {SessionState} from './session-state.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Statement} from './statement.ts';
import type {Transaction} from './transaction.ts';

type Options = {
	/** Returns the milliseconds without a statement after which a transaction is rolled back. */
	readonly idleLimit: () => number;
};

/** The operation of a statement, or the failure because of which it may not run. */
type Admission = Operation | StatementOutcome;

/** The transaction of a session: none, an open one, or a failed one that the caller has not ended yet. */
type SessionTransaction = {
	readonly state: () => SessionState;
	/** Returns the transaction that the caller has begun and not ended. */
	readonly find: () => Transaction | undefined;
	readonly begin: (isReadOnly: boolean, admit: () => Promise<Admission>) => Promise<StatementOutcome>;
	/** Runs a read or write in the transaction; a failure ends it. */
	readonly run: (transaction: Transaction, statement: {readonly query: Query; readonly operation: Admission}) => Promise<StatementOutcome>;
	readonly commit: (transaction: Transaction, statement: {readonly id: string; readonly text: string; readonly operation: Admission}) => Promise<StatementOutcome>;
	readonly rollBack: () => StatementOutcome;
	/** Answers a statement in a transaction that has failed. */
	readonly answerFailed: (kind: Statement['kind']) => StatementOutcome;
	/** Rolls back the open transaction, if any, and tells the caller the reason with its next statement. */
	readonly end: (reason: string) => void;
	/** Leaves the transaction, whose commit is given up. */
	readonly leave: () => void;
	/** Rolls back the open transaction, if any, when the session ends. */
	readonly close: () => void;
};

/** Creates the transaction of a session; there is none at first. */
export function createSessionTransaction({idleLimit}: Options): SessionTransaction {
	let present: Transaction | undefined;
	let state: SessionState = 'idle';

	/** Ends a failed transaction on the caller's commit or rollback; a commit fails. */
	const endFailed = (kind: 'commit' | 'rollback'): StatementOutcome => {
		state = 'idle';
		return kind === 'rollback' ? emptyResult : createFailure('aborted', 'The transaction had failed and is rolled back');
	};

	return {
		state: () => state,
		find: () => present,
		async begin(isReadOnly, admit) {
			if (state !== 'idle') {
				return createFailure('malformed', 'A transaction is open already');
			}

			const operation = await admit();
			if (!('group' in operation)) {
				return operation;
			}

			present = createTransaction({
				workspace: operation.workspace,
				isReadOnly,
				idleLimit: idleLimit(),
				onIdle() {
					state = 'failed';
				},
			});
			state = 'open';
			return emptyResult;
		},
		async run(transaction, {query, operation}) {
			const outcome = 'group' in operation ? await transaction.run(query, operation) : operation;
			if (outcome.kind === 'failed') {
				transaction.rollBack();
				state = 'failed';
			}

			return outcome;
		},
		async commit(transaction, {id, text, operation}) {
			if (!('group' in operation)) {
				transaction.rollBack();
			}

			const outcome = 'group' in operation ? await transaction.commit({id, text}, operation) : operation;
			present = undefined;
			state = 'idle';
			return outcome;
		},
		rollBack() {
			if (present === undefined) {
				return createFailure('malformed', 'No transaction is open');
			}

			present.rollBack();
			present = undefined;
			state = 'idle';
			return emptyResult;
		},
		answerFailed(kind) {
			if (kind === 'commit' || kind === 'rollback') {
				present = undefined;
				return endFailed(kind);
			}

			const reason = present?.endReason();
			return reason === undefined ? createFailure('malformed', 'The transaction has failed; end it first') : createFailure('aborted', reason);
		},
		end(reason) {
			if (state === 'open') {
				present?.end(reason);
				state = 'failed';
			}
		},
		leave() {
			state = 'idle';
		},
		close() {
			present?.rollBack();
			present = undefined;
		},
	};
}
