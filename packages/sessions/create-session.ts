/* eslint-disable no-await-in-loop -- requests of a session run sequentially */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {runWithinBudget} from './admission/run-within-budget.ts';
import type {Caller} from './caller.ts';
import type {ClientAnswer} from './client-answer.ts';
import type {ClientRequest} from './client-request.ts';
import {createFailure} from './create-failure.ts';
import {createStatementRunner} from './create-statement-runner.ts';
import {createStatementTrace} from './create-statement-trace.ts';
import {hashKey} from './hash-key.ts';
import type {SessionWork} from './session-work.ts';
import type {Session} from './session.ts';
import type {SessionContext} from './session-context.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StatementRequest} from './statement-request.ts';
import type {StatementTrace} from './statement-trace.ts';
import {stopReason} from './stop-reason.ts';

type Options = {
	readonly context: SessionContext;
	/** Number that identifies the session in logs. */
	readonly number: number;
	readonly send: (answer: ClientAnswer) => void;
	/** Closes the connection after all sent messages are written. */
	readonly close: () => void;
	/** Gives the session the next message that was read, if there is one. */
	readonly readMore: () => void;
	/** Resolves when the caller has taken its answers, or is gone; undefined if few answers wait to be taken. */
	readonly waitForReader: () => Promise<void> | undefined;
};

/** A statement that is running. */
type RunningStatement = {
	readonly request: StatementRequest;
	/** When it began, in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly trace: StatementTrace;
};

/**
 * Milliseconds for which a session must have been unused before a stopping host closes it. A caller that has just got
 * an answer may be sending its next statement, which it would lose.
 */
const minUnusedMs = 100;

/** Requests that a session handles at most before it lets other sessions go on; refusals need no wait of their own. */
const maxRequestsPerTurn = 32;

/** Reason of the answer to a statement that the host has no memory for. */
const noMemoryReason = 'The host has no memory for another large statement now';

/** Reason of the answers of a session that ends because of an unexpected error. */
const failureReason = 'The host failed to run the statement';

/** Creates the session of a caller that has just connected; its requests run one at a time, in the order received. */
export function createSession({
	context, number, send, close, readMore, waitForReader,
}: Options): Session {
	const queue: ClientRequest[] = [];
	let caller: Caller | undefined;
	const runner = createStatementRunner({context, findCaller: () => caller});
	let running: RunningStatement | undefined;
	let isRunning = false;
	let isClosed = false;
	let hasFailed = false;
	/** When a request was last received or answered, in milliseconds of the steady clock. */
	let usedAt = context.now().steady;

	const end = () => {
		isClosed = true;
		runner.end();
		if (!isRunning) {
			runner.release();
		}
	};

	const closeSession = () => {
		if (!isClosed) {
			end();
			close();
		}
	};

	const sendAnswer = (outcome: StatementOutcome) => {
		if (!isClosed) {
			send({kind: 'answered', outcome, state: runner.state()});
		}
	};

	const start = (database: string, key: string) => {
		const keyDigest = hashKey(key);
		const access = context.findAccess({database, keyDigest});
		if (access.kind === 'denied') {
			const outcome = createFailure(access.code, access.reason);
			send({kind: 'rejected', outcome});
			context.onAnswered({
				id: '', session: number, kind: 'start', database, workspace: '', outcome, elapsed: 0, trace: createStatementTrace(),
			});
			closeSession();
			return;
		}

		caller = {database, keyDigest};
		send({kind: 'started'});
	};

	/** Answers a statement and logs it. */
	const finishStatement = ({request, startedAt, trace}: RunningStatement, outcome: StatementOutcome) => {
		sendAnswer(outcome);
		const access = caller && context.findAccess(caller);
		context.onAnswered({
			id: request.id,
			session: number,
			kind: request.statement.kind,
			database: caller?.database ?? '',
			workspace: access?.kind === 'allowed' ? access.workspace : '',
			outcome,
			elapsed: context.now().steady - startedAt,
			trace,
		});
	};

	/** Takes the next request; what was read and waits for the session comes behind those that it has. */
	const takeRequest = (): ClientRequest | undefined => {
		if (queue.length === 0) {
			readMore();
		}

		return queue.shift();
	};

	/** Answers the statement that is running, and all requests that wait, none of which is sent to an instance any more. */
	const answerAll = (reason: string) => {
		const statement = running;
		running = undefined;
		if (statement !== undefined) {
			finishStatement(statement, runner.giveUp(reason));
		}

		for (let request = takeRequest(); request !== undefined; request = takeRequest()) {
			if (request.kind === 'statement') {
				const waiting = {request, startedAt: context.now().steady, trace: createStatementTrace()};
				finishStatement(waiting, runner.refuse(request, reason));
			} else if (request.kind === 'malformed') {
				sendAnswer(createFailure('malformed', request.reason));
			}
		}
	};

	/** Refuses a statement that the host has no memory for, and rolls its transaction back. */
	const refuseStatement = (request: StatementRequest): StatementOutcome => {
		runner.endTransaction(noMemoryReason);
		return runner.refuse(request, noMemoryReason);
	};

	/** Runs a statement; an unexpected error ends this session alone, behind an answer that says what is known of the statement. */
	const runStatement = async (request: StatementRequest, trace: StatementTrace): Promise<StatementOutcome> => {
		try {
			const outcome = await runWithinBudget(async () => runner.run(request, trace), {budget: context.statementBudget, bytes: request.text.length});
			return outcome ?? refuseStatement(request);
		} catch (error) {
			context.log.warn({session: number, id: request.id, error: (error as Error).stack}, 'session: The host failed to run a statement because of an unexpected error, and closes the session.');
			hasFailed = true;
			return runner.giveUp(failureReason);
		}
	};

	const handleStatement = async (request: StatementRequest) => {
		const statement = {request, startedAt: context.now().steady, trace: createStatementTrace()};
		running = statement;
		const outcome = await runStatement(request, statement.trace);
		// A statement that was given up has been answered.
		if (running === statement) {
			running = undefined;
			finishStatement(statement, outcome);
		}

		if (hasFailed) {
			answerAll(failureReason);
			closeSession();
		}
	};

	const handleRequest = async (request: ClientRequest) => {
		switch (request.kind) {
			case 'start': {
				if (caller === undefined) {
					start(request.database, request.key);
				} else {
					sendAnswer(createFailure('malformed', 'The session has been started already'));
				}

				break;
			}

			case 'statement': {
				await handleStatement(request);
				break;
			}

			case 'malformed': {
				context.log.warn({session: number, reason: request.reason}, 'session: The caller sent a message that cannot be parsed.');
				sendAnswer(createFailure('malformed', request.reason));
				break;
			}

			case 'broken': {
				context.log.warn({session: number, reason: request.reason}, 'session: The host closes the connection because of a framing error.');
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

	const processQueue = async () => {
		isRunning = true;
		let handledInTurn = 0;
		for (let request = queue.shift(); request !== undefined && !isClosed; request = takeRequest()) { // eslint-disable-line no-unmodified-loop-condition -- a statement may close the session
			await handleRequest(request);
			const taken = waitForReader();
			if (taken !== undefined) {
				await taken;
			}

			handledInTurn++;
			if (handledInTurn === maxRequestsPerTurn) {
				handledInTurn = 0;
				await waitForTurn();
			}
		}

		isRunning = false;
		if (isClosed) {
			// The values were in use by the statement that ran as the session ended.
			runner.release();
		}

		usedAt = context.now().steady;
	};

	const findWork = (): SessionWork => ({
		session: number,
		state: runner.state(),
		id: running?.request.id ?? '',
		kind: running?.request.statement.kind ?? '',
		elapsed: running === undefined ? 0 : Math.round(context.now().steady - running.startedAt),
		queued: queue.length,
	});

	return {
		receive(request) {
			usedAt = context.now().steady;
			queue.push(request);
			if (!isRunning) {
				void processQueue();
			}

			return !isRunning;
		},
		end,
		abort(reason) {
			context.log.warn({...findWork(), reason}, 'session: The host answers what the session runs, and closes it.');
			answerAll(reason);
			closeSession();
		},
		step(phase) {
			if (phase === 'answering') {
				answerAll(stopReason);
				closeSession();
				return;
			}

			if (phase === 'serving' || isRunning) {
				return;
			}

			if (phase === 'rollingBack') {
				runner.endTransaction(stopReason);
			}

			if (runner.state() === 'idle' && context.now().steady - usedAt >= minUnusedMs) {
				closeSession();
			}
		},
		findWork,
	};
}
