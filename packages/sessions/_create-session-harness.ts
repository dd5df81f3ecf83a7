import {setImmediate as turn} from 'node:timers/promises';
import type {ByteBudget} from './byte-budget.ts';
import type {ClientAnswer} from './client-answer.ts';
import type {ClientRequest} from './client-request.ts';
import {createByteBudget} from './create-byte-budget.ts';
import {createSession} from './create-session.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {SessionContext} from './session-context.ts';
import type {Session} from './session.ts';
import type {SessionState} from './session-state.ts';
import type {Statement} from './statement.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StopPhase} from './stop-phase.ts';

const statements = {
	begin: {kind: 'begin', isReadOnly: false},
	read: {kind: 'read'},
	write: {kind: 'write'},
	commit: {kind: 'commit'},
	rollback: {kind: 'rollback'},
	set: {kind: 'set', name: 'a', value: '1'},
} as const satisfies Record<string, Statement>;

/** Bytes that the values of all sessions of a harness may take, unless the test gives a budget. */
const valueBudgetBytes = 5_000_000;

type Kind = keyof typeof statements;

const createRequest = (kind: Kind): ClientRequest => ({
	kind: 'statement', id: kind, text: kind.toUpperCase(), statement: statements[kind],
});

/** Creates a session of a host whose one instance answers when the test says so. */
export function createSessionHarness({
	rate = Promise.resolve(), hasError = false, valueBudget = createByteBudget(valueBudgetBytes), statementBudget = createByteBudget(valueBudgetBytes),
}: {readonly rate?: Promise<void>; readonly hasError?: boolean; readonly valueBudget?: ByteBudget; readonly statementBudget?: ByteBudget} = {}) {
	const sent: string[] = [];
	const waiting: Array<(answer: JobAnswer) => void> = [];
	const jobs: Job[] = [];
	let phase: StopPhase = 'serving';
	let now = 0;
	let isClosed = false;
	const runJob = async (job: Job, maySend: () => boolean): Promise<JobAnswer> => {
		if (!maySend()) {
			return {kind: 'notSent', reason: 'may not be sent'};
		}

		jobs.push(job);
		if (hasError) {
			throw new Error('not expected');
		}

		return job.kind === 'begin'
			? {
				kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: 'open', position: undefined, transaction: 1,
			}
			: new Promise(resolve => {
				waiting.push(resolve);
			});
	};

	const instance = {
		listed: () => ({id: 'i-a'}),
		run: async (job: Job, maySend: () => boolean) => ({answer: await runJob(job, maySend), runner: runJob}),
		checkGateway: () => undefined,
	};
	const context = {
		now: () => ({steady: now, wall: now}),
		findAccess: () => ({
			kind: 'allowed', workspace: 'upper', version: 1, route: {
				group: 'g', freshness: 'latest', priority: 1, statementTimeout: 2000, targetLatency: 200,
			},
		}),
		transactionIdleLimit: () => 60_000,
		findGroup: () => ({
			primary: () => ({kind: 'leased', instance: 'i-a', epoch: 1}),
			findInstance: () => instance,
			recordAnswer: () => undefined,
			recordCommit: () => undefined,
			findLogMark: () => undefined,
			findNewestPosition: () => undefined,
		}),
		async takeOperation() {
			await rate;
			return {kind: 'taken'};
		},
		findStopPhase: () => phase,
		valueBudget,
		statementBudget,
		onAnswered: () => undefined,
		log: {debug: () => undefined, info: () => undefined, warn: () => undefined},
	} as unknown as SessionContext;
	const backlog: Kind[] = [];
	const session: Session = createSession({
		context,
		number: 1,
		send(answer: ClientAnswer) {
			sent.push(answer.kind === 'answered' ? `${answer.outcome.kind === 'done' ? 'done' : answer.outcome.code} ${answer.state}` : answer.kind);
		},
		close() {
			isClosed = true;
		},
		readMore() {
			const kind = backlog.shift();
			if (kind !== undefined) {
				session.receive(createRequest(kind));
			}
		},
		waitForReader: () => undefined,
	});
	session.receive({kind: 'start', database: 'ponds', key: 'good'});
	sent.length = 0;
	return {
		session,
		sent,
		backlog,
		jobs,
		isClosed: () => isClosed,
		/** Gives the session a message; returns whether it takes another one at once. */
		receive: (kind: Kind) => session.receive(createRequest(kind)),
		async run(kinds: readonly Kind[]) {
			for (const kind of kinds) {
				session.receive(createRequest(kind));
			}

			await turn();
		},
		/** Sends a write whose text has a number of bytes. */
		async write(bytes: number) {
			session.receive({
				kind: 'statement', id: 'write', text: 'x'.repeat(bytes), statement: statements.write,
			});
			await turn();
		},
		/** Sets a value of a number of bytes. */
		async set(name: string, bytes: number) {
			session.receive({
				kind: 'statement', id: name, text: '', statement: {kind: 'set', name, value: 'v'.repeat(bytes)},
			});
			await turn();
		},
		/** Returns the lengths of the values that the last job carries. */
		findValues() {
			const job = jobs.at(-1);
			return job !== undefined && 'setup' in job ? [...job.setup.variables].map(([name, value]) => `${name} ${value.length}`) : [];
		},
		/** Lets the instance answer the oldest job that waits. */
		async answer(state: SessionState) {
			waiting.shift()?.({
				kind: 'answered', outcome: {kind: 'done', rows: [], signature: 's'}, state, position: {term: 1, number: 1},
			} as unknown as JobAnswer);
			await turn();
		},
		/** Lets the instance answer the oldest job that waits with a failure. */
		async answerWith(outcome: StatementOutcome) {
			waiting.shift()?.({
				kind: 'answered', outcome, state: 'idle', position: undefined,
			});
			await turn();
		},
		async step(next: StopPhase, elapsedMs = 0) {
			phase = next;
			now += elapsedMs;
			session.step(next);
			await turn();
		},
	};
}
