import {admitOperation} from './admit-operation.ts';
import {applySetupStatement} from './apply-setup-statement.ts';
import type {Caller} from './caller.ts';
import {checkPrimaryGateway} from './check-primary-gateway.ts';
import {createBudgetShare} from './create-budget-share.ts';
import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import {createOperation} from './create-operation.ts';
import {createSessionTransaction} from './create-session-transaction.ts';
import {createQuery} from './create-query.ts';
import {findStopRefusal} from './find-stop-refusal.ts';
import type {Operation} from './operation.ts';
import {runRead} from './run-read.ts';
import {runWrite} from './run-write.ts';
import type {SessionContext} from './session-context.ts';
import type {LastWrite} from './last-write.ts';
import type {SessionState} from './session-state.ts';
import type {SessionSetup} from './session-setup.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StatementRequest} from './statement-request.ts';
import type {StatementTrace} from './statement-trace.ts';
import type {Statement} from './statement.ts';
import type {Transaction} from './transaction.ts';
import type {Query} from './query.ts';

type Options = {
	readonly context: SessionContext;
	/** Returns the database and key that the caller started the session with; undefined before the start. */
	readonly findCaller: () => Caller | undefined;
};

/** Runs the statements of one session sequentially. */
type StatementRunner = {
	readonly run: (request: StatementRequest, trace: StatementTrace) => Promise<StatementOutcome>;
	/** Answers a statement that is not sent to an instance any more. */
	readonly refuse: (request: StatementRequest, reason: string) => StatementOutcome;
	readonly state: () => SessionState;
	/** Rolls back the open transaction, if any, and tells the caller the reason with its next statement. */
	readonly endTransaction: (reason: string) => void;
	/**
	 * Gives up the statement that is running: rolls back its transaction, and sends nothing more for it. Returns what is
	 * known of it: that nothing is kept, or `unknown` if a write or commit may have taken effect.
	 */
	readonly giveUp: (reason: string) => StatementOutcome;
	/** Rolls back the open transaction, if any, when the session ends. */
	readonly end: () => void;
	/** Gives back the memory of the session's values, when no statement runs any more. */
	readonly release: () => void;
};

/**
 * Largest bytes of the values and prepared statements of a session. Each job for another host carries them all, in a
 * message of 8 MiB at most.
 */
const maxValueBytes = 3 * 1024 * 1024;

/** Creates the runner for the statements of a session, both single statements and those in transactions. */
export function createStatementRunner({context, findCaller}: Options): StatementRunner {
	const setup: SessionSetup = {variables: new Map(), prepared: new Map()};
	const share = createBudgetShare(context.valueBudget, maxValueBytes);
	const lastWrites = new Map<string, LastWrite>();
	const transaction = createSessionTransaction({idleLimit: context.transactionIdleLimit});

	/** Kind of the statement that is running. */
	let runningKind: Statement['kind'] | undefined;
	/** Whether the statement that is running was sent and may take effect, so that it cannot be answered as not run. */
	let mayTakeEffect = false;
	let isGivenUp = false;

	const createStatementOperation = (trace: StatementTrace): Operation | StatementOutcome => {
		const caller = findCaller();
		return caller === undefined
			? createFailure('malformed', 'The session has not been started')
			: createOperation({
				context,
				caller,
				setup,
				trace,
				scope: transaction.find()?.scope(),
				isGivenUp: () => isGivenUp,
				setMayTakeEffect(newer) {
					mayTakeEffect = newer;
				},
				lastWrites,
			});
	};

	/** Creates an operation that counts against the workspace's rate limit, or a failure if the operation may not run now. */
	const createAdmittedOperation = async (trace: StatementTrace): Promise<Operation | StatementOutcome> => {
		const operation = createStatementOperation(trace);
		return 'group' in operation ? await admitOperation(operation) ?? operation : operation;
	};

	const runSingle = async (query: Query, trace: StatementTrace): Promise<StatementOutcome> => {
		const caller = findCaller();
		if (query.access === 'write' && caller !== undefined) {
			checkPrimaryGateway(context, caller);
		}

		const operation = await createAdmittedOperation(trace);
		if (!('group' in operation)) {
			return operation;
		}

		return query.access === 'read' ? runRead(query, operation) : runWrite(query, operation);
	};

	const commit = async (open: Transaction, {id, text}: StatementRequest, trace: StatementTrace): Promise<StatementOutcome> => {
		const operation = createStatementOperation(trace);
		mayTakeEffect = 'group' in operation && open.hasWritten();
		return transaction.commit(open, {id, text, operation});
	};

	/** Applies a statement that changes the session's values; a failure that promises that nothing is kept ends the open transaction. */
	const changeSetup = (statement: Statement): StatementOutcome | undefined => {
		const outcome = applySetupStatement(statement, {setup, share});
		if (statement.kind === 'set' && outcome?.kind === 'done') {
			transaction.find()?.recordSet();
		}

		if (transaction.state() !== 'open' || outcome?.kind !== 'failed' || outcome.code !== 'busy') {
			return outcome;
		}

		transaction.end(outcome.reason);
		return createFailure('aborted', outcome.reason);
	};

	/** Answers a statement that no instance is needed for, or that is refused because of a planned stop; undefined for any other. */
	const answerLocally = (statement: Statement): StatementOutcome | undefined => {
		if (findCaller() === undefined) {
			return createFailure('malformed', 'The session has not been started');
		}

		const refusal = findStopRefusal({kind: statement.kind, state: transaction.state(), phase: context.findStopPhase()});
		if (refusal !== undefined) {
			transaction.end(refusal.reason);
		}

		if (transaction.state() === 'failed') {
			return transaction.answerFailed(statement.kind);
		}

		return refusal ?? (statement.kind === 'rollback' ? transaction.rollBack() : changeSetup(statement));
	};

	const run = async (request: StatementRequest, trace: StatementTrace): Promise<StatementOutcome> => {
		const {statement} = request;
		runningKind = statement.kind;
		mayTakeEffect = false;
		const outcome = answerLocally(statement);
		if (outcome !== undefined) {
			return outcome;
		}

		const open = transaction.find();
		switch (statement.kind) {
			case 'begin': {
				return transaction.begin(statement.isReadOnly, async () => createAdmittedOperation(trace));
			}

			case 'commit': {
				return open === undefined ? createFailure('malformed', 'No transaction is open') : commit(open, request, trace);
			}

			case 'execute':
			case 'read':
			case 'write': {
				const query = createQuery(request, setup);
				if (query === undefined) {
					return createFailure('unknownStatement', 'No statement of this name is prepared');
				}

				return open === undefined ? runSingle(query, trace) : transaction.run(open, {query, operation: createStatementOperation(trace)});
			}

			default: {
				return createFailure('malformed', 'The statement is not known');
			}
		}
	};

	return {
		run,
		refuse: ({statement}, reason) => answerLocally(statement) ?? (transaction.state() === 'open' ? createFailure('aborted', reason) : createBusyFailure(reason, 0)),
		state: transaction.state,
		endTransaction: transaction.end,
		giveUp(reason) {
			isGivenUp = true;
			const isInTransaction = transaction.state() === 'open';
			transaction.end(reason);
			if (runningKind === 'commit') {
				transaction.leave();
			}

			if (mayTakeEffect) {
				return createFailure('unknown', `The statement may have run: ${reason}`);
			}

			return isInTransaction ? createFailure('aborted', reason) : createBusyFailure(reason, 0);
		},
		end: transaction.close,
		release: share.end,
	};
}
