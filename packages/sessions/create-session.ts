/* eslint-disable no-await-in-loop -- the steps follow each other */
import {applyLocalStatement} from './apply-local-statement.ts';
import type {Caller} from './caller.ts';
import type {ClientAnswer} from './client-answer.ts';
import type {ClientRequest} from './client-request.ts';
import {createBusy} from './create-busy.ts';
import {createFailure} from './create-failure.ts';
import {createTransaction} from './create-transaction.ts';
import {createWork} from './create-work.ts';
import {hashKey} from './hash-key.ts';
import {localResult} from './local-result.ts';
import type {Operation} from './operation.ts';
import {runRead} from './run-read.ts';
import {runWrite} from './run-write.ts';
import type {Session} from './session.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionMark} from './session-mark.ts';
import type {SessionState} from './session-state.ts';
import type {SessionValues} from './session-values.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Transaction} from './transaction.ts';
import type {Work} from './work.ts';

type Options = {
	readonly context: SessionContext;
	/** Number of the session, for logs. */
	readonly number: number;
	readonly send: (answer: ClientAnswer) => void;
	/** Closes the connection after what was sent. */
	readonly close: () => void;
};

type StatementRequest = Extract<ClientRequest, {readonly kind: 'statement'}>;

/** Creates the session of a caller that has just connected. */
export function createSession({context, number, send, close}: Options): Session {
	const setup: SessionValues = {values: new Map(), prepared: new Map()};
	const waiting: ClientRequest[] = [];
	let opened: Caller | undefined;
	let transaction: Transaction | undefined;
	let state: SessionState = 'idle';
	let mark: SessionMark | undefined;
	let isRunning = false;
	let isClosed = false;
	let isStopping = false;

	const closeSession = () => {
		if (!isClosed) {
			isClosed = true;
			transaction?.rollBack();
			transaction = undefined;
			close();
		}
	};

	const answer = (outcome: StatementOutcome) => {
		if (!isClosed) {
			send({kind: 'answered', outcome, state});
		}
	};

	const start = (database: string, key: string) => {
		const keyDigest = hashKey(key);
		const access = context.findAccess({database, keyDigest});
		if (access.kind === 'denied') {
			const outcome = createFailure(access.code, access.reason);
			send({kind: 'rejected', outcome});
			context.onAnswered({
				id: '', session: number, kind: 'start', database, workspace: '', outcome, elapsed: 0, trace: [],
			});
			closeSession();
			return;
		}

		opened = {database, keyDigest};
		send({kind: 'started'});
	};

	/** Prepares the running of a statement; refuses it if the caller may not use the database now. */
	const createOperation = (trace: string[]): Operation | StatementOutcome => {
		const access = opened && context.findAccess(opened);
		if (opened === undefined || access === undefined) {
			return createFailure('malformed', 'The session has not been started');
		}

		if (access.kind === 'denied') {
			return createFailure(access.code, access.reason);
		}

		const {route, workspace} = access;
		const group = context.findGroup(route.group);
		if (group === undefined) {
			return createBusy(`The group ${route.group} is not known yet`, 500);
		}

		const caller = opened;
		const arrivedAt = context.now();
		return {
			context,
			group,
			route,
			workspace,
			caller,
			setup,
			arrivedAt,
			deadline: arrivedAt.steady + route.statementTimeout,
			isAllowed: () => context.findAccess(caller).kind === 'allowed',
			mark: () => mark,
			setMark(newer) {
				mark = newer;
			},
			trace(step) {
				trace.push(step);
			},
		};
	};

	/** Ends a failed transaction, as the caller has asked for. */
	const leaveFailed = (kind: 'commit' | 'rollback'): StatementOutcome => {
		state = 'idle';
		return kind === 'rollback' ? localResult : createFailure('aborted', 'The transaction had failed and is rolled back');
	};

	/** Takes an operation from the workspace's rate; a refusal if there is none left. */
	const takeOperation = async (workspace: string): Promise<StatementOutcome | undefined> => {
		const {isTaken, retryAfter} = await context.takeOperation(workspace);
		return isTaken ? undefined : createBusy('The workspace has used up its rate', retryAfter);
	};

	const begin = async (isReadOnly: boolean, trace: string[]): Promise<StatementOutcome> => {
		if (state !== 'idle') {
			return createFailure('malformed', 'A transaction is open already');
		}

		const operation = createOperation(trace);
		if (!('group' in operation)) {
			return operation;
		}

		const refusal = await takeOperation(operation.workspace);
		if (refusal !== undefined) {
			return refusal;
		}

		transaction = createTransaction({
			isReadOnly,
			idleLimit: context.transactionIdle(),
			onIdle() {
				state = 'failed';
			},
		});
		state = 'open';
		return localResult;
	};

	const runInTransaction = async (open: Transaction, work: Work, trace: string[]): Promise<StatementOutcome> => {
		const operation = createOperation(trace);
		const outcome = 'group' in operation ? await open.run(work, operation) : operation;
		if (outcome.kind === 'failed') {
			open.rollBack();
			state = 'failed';
		}

		return outcome;
	};

	const runSingle = async (work: Work, trace: string[]): Promise<StatementOutcome> => {
		const operation = createOperation(trace);
		if (!('group' in operation)) {
			return operation;
		}

		const refusal = await takeOperation(operation.workspace);
		if (refusal !== undefined) {
			return refusal;
		}

		return work.access === 'read' ? runRead(work, operation) : runWrite(work, operation);
	};

	const commit = async (open: Transaction, {id, text}: StatementRequest, trace: string[]): Promise<StatementOutcome> => {
		const operation = createOperation(trace);
		if (!('group' in operation)) {
			open.rollBack();
		}

		const outcome = 'group' in operation ? await open.commit({id, text}, operation) : operation;
		transaction = undefined;
		state = 'idle';
		return outcome;
	};

	const run = async (request: StatementRequest, trace: string[]): Promise<StatementOutcome> => {
		const {statement} = request;
		if (opened === undefined) {
			return createFailure('malformed', 'The session has not been started');
		}

		if (state === 'failed') {
			if (statement.kind === 'commit' || statement.kind === 'rollback') {
				transaction = undefined;
				return leaveFailed(statement.kind);
			}

			const reason = transaction?.endedBecause();
			return reason === undefined ? createFailure('malformed', 'The transaction has failed; end it first') : createFailure('aborted', reason);
		}

		const local = applyLocalStatement(statement, setup);
		if (local !== undefined) {
			return local;
		}

		switch (statement.kind) {
			case 'begin': {
				return begin(statement.isReadOnly, trace);
			}

			case 'commit': {
				return transaction === undefined ? createFailure('malformed', 'No transaction is open') : commit(transaction, request, trace);
			}

			case 'rollback': {
				if (transaction === undefined) {
					return createFailure('malformed', 'No transaction is open');
				}

				transaction.rollBack();
				transaction = undefined;
				state = 'idle';
				return localResult;
			}

			case 'execute':
			case 'read':
			case 'write': {
				const work = createWork(request, setup);
				if (work === undefined) {
					return createFailure('unknownStatement', 'No statement of this name is prepared');
				}

				return transaction === undefined ? runSingle(work, trace) : runInTransaction(transaction, work, trace);
			}

			default: {
				return createFailure('malformed', 'The statement is not known');
			}
		}
	};

	const handleStatement = async (request: StatementRequest) => {
		const startedAt = context.now().steady;
		const trace: string[] = [];
		const outcome = await run(request, trace);
		answer(outcome);
		const access = opened && context.findAccess(opened);
		context.onAnswered({
			id: request.id,
			session: number,
			kind: request.statement.kind,
			database: opened?.database ?? '',
			workspace: access?.kind === 'allowed' ? access.workspace : '',
			outcome,
			elapsed: context.now().steady - startedAt,
			trace,
		});
	};

	const handle = async (request: ClientRequest) => {
		switch (request.kind) {
			case 'start': {
				if (opened === undefined) {
					start(request.database, request.key);
				} else {
					answer(createFailure('malformed', 'The session has been started already'));
				}

				break;
			}

			case 'statement': {
				await handleStatement(request);
				break;
			}

			case 'malformed': {
				context.log.warn({session: number, reason: request.reason}, 'session: A message cannot be read.');
				answer(createFailure('malformed', request.reason));
				break;
			}

			case 'broken': {
				context.log.warn({session: number, reason: request.reason}, 'session: The connection is closed, since its messages cannot be told apart.');
				send({kind: 'rejected', outcome: createFailure('tooBig', request.reason)});
				closeSession();
				break;
			}

			case 'terminate': {
				closeSession();
				break;
			}
		}
	};

	const drain = async () => {
		isRunning = true;
		for (let request = waiting.shift(); request !== undefined && !isClosed; request = waiting.shift()) { // eslint-disable-line no-unmodified-loop-condition -- a statement may close the session
			await handle(request);
		}

		isRunning = false;
		if (isStopping && state === 'idle') {
			closeSession();
		}
	};

	return {
		receive(request) {
			waiting.push(request);
			if (!isRunning) {
				void drain();
			}
		},
		end() {
			isClosed = true;
			transaction?.rollBack();
			transaction = undefined;
		},
		stop() {
			isStopping = true;
			if (!isRunning && state === 'idle') {
				closeSession();
			}
		},
		abort: closeSession,
		isIdle: () => !isRunning && state === 'idle',
	};
}
