import {applySetup} from './apply-setup.ts';
import {createJobClock} from './create-job-clock.ts';
import type {InstancePool} from './instance-pool.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import type {JobRunner} from './job-runner.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import type {PooledLink} from './pooled-link.ts';
import {runQuery} from './run-query.ts';

type Options = {
	readonly pool: InstancePool;
	readonly send: InstanceRuntime['send'];
	/** Smoothed milliseconds that the instance needs for a statement. */
	readonly latency: () => number;
	/** Present steady milliseconds. */
	readonly now: () => number;
};

type JobOf<Kind extends Job['kind']> = Extract<Job, {readonly kind: Kind}>;

type JobClock = ReturnType<typeof createJobClock>;

type OpenTransaction = {
	readonly pooled: PooledLink;
	readonly idleLimit: number;
	idleTimer?: NodeJS.Timeout;
};

/** Milliseconds within which an instance must answer a read before it is tried elsewhere; a multiple of what is usual there. */
const readPatience = {least: 500, times: 10};

/** Milliseconds within which an instance must answer the beginning of a transaction. */
const beginTimeout = 600;

/** Milliseconds within which an instance must answer a rollback before the connection is closed instead. */
const rollbackTimeout = 500;

/** Milliseconds for which the question for a position waits for a connection. */
const positionPatience = 300;

/** Milliseconds within which an instance must tell its position. */
const positionTimeout = 600;

/** Milliseconds beyond its idle limit after which a transaction is rolled back whose session says nothing any more. */
const abandonedMargin = 1500;

/** Numbers of transactions differ between processes, so that one that was restarted takes none for its own. */
const firstNumberLimit = 2 ** 40;

/** Creates what runs jobs on this host's own connections to an instance. */
export function createLocalRunner({pool, send, latency, now}: Options): JobRunner {
	const transactions = new Map<number, OpenTransaction>();
	let lastNumber = Math.floor(Math.random() * firstNumberLimit);

	const acquire = async ({workspace, priority, timeout}: Pick<JobOf<'single' | 'begin'>, 'workspace' | 'priority' | 'timeout'>, clock: JobClock) => {
		const acquired = await pool.acquire({workspace, priority, timeout});
		if (acquired.kind === 'acquired') {
			clock.noteAcquired(acquired.openSpan);
			return acquired.link;
		}

		return {
			kind: 'notSent' as const, reason: `no connection (${acquired.kind})`, isUnreachable: acquired.kind === 'unreachable',
		};
	};

	const runSingle = async (job: JobOf<'single'>, maySend: () => boolean): Promise<JobAnswer> => {
		const deadline = now() + job.timeout;
		const clock = createJobClock(now);
		const pooled = await acquire(job, clock);
		if ('kind' in pooled) {
			return pooled;
		}

		const left = Math.max(1, deadline - now());
		const patience = Math.max(readPatience.least, readPatience.times * latency());
		const {setup, query, after} = job;
		const answer = await runQuery(pooled, {
			send,
			setup,
			query,
			after,
			isInTransaction: false,
			timeout: query.access === 'read' ? Math.min(patience, left) : left,
			maySend() {
				clock.noteSent();
				return maySend() && now() < deadline;
			},
		});
		pool.release(pooled, isClean(answer, pooled));
		return addSpans(answer, clock);
	};

	const begin = async (job: JobOf<'begin'>, maySend: () => boolean): Promise<JobAnswer> => {
		const deadline = now() + job.timeout;
		const clock = createJobClock(now);
		const pooled = await acquire(job, clock);
		if ('kind' in pooled) {
			return pooled;
		}

		const {setup, isReadOnly, after, idleLimit} = job;
		const isReady = await applySetup(pooled, {
			setup, prepared: undefined, isInTransaction: false, send: async request => send(pooled, request, beginTimeout),
		});
		if (!isReady || !maySend() || now() >= deadline) {
			pool.release(pooled, isReady);
			return isReady ? notSentAnswer : {kind: 'notSent', reason: 'the connection did not take the session\'s values'};
		}

		clock.noteSent();
		const answer = await send(pooled, {kind: 'begin', isReadOnly, after}, Math.max(1, Math.min(beginTimeout, deadline - now())));
		if (answer.kind !== 'answered' || answer.outcome.kind !== 'done' || answer.state !== 'open') {
			pool.release(pooled, isClean(answer, pooled));
			return answer;
		}

		lastNumber++;
		const transaction = lastNumber;
		transactions.set(transaction, {pooled, idleLimit});
		startIdleTimer(transaction);
		return {...answer, transaction, spans: clock.finish()};
	};

	const startIdleTimer = (transaction: number) => {
		const open = transactions.get(transaction);
		if (open !== undefined) {
			open.idleTimer = setTimeout(() => {
				void rollBack(transaction);
			}, open.idleLimit + abandonedMargin);
		}
	};

	/** Takes a transaction whose connection is then the caller's to give back; undefined when it is over. */
	const takeTransaction = (transaction: number): PooledLink | undefined => {
		const open = transactions.get(transaction);
		clearTimeout(open?.idleTimer);
		transactions.delete(transaction);
		return open?.pooled;
	};

	const runWithin = async ({transaction, setup, query, timeout}: JobOf<'within'>, maySend: () => boolean): Promise<JobAnswer> => {
		const open = transactions.get(transaction);
		if (open === undefined) {
			return {kind: 'notSent', reason: 'the transaction is not open any more'};
		}

		clearTimeout(open.idleTimer);
		const clock = createJobClock(now);
		const answer = await runQuery(open.pooled, {
			send,
			setup,
			query,
			after: undefined,
			isInTransaction: true,
			timeout,
			maySend() {
				clock.noteSent();
				return maySend() && transactions.has(transaction);
			},
		});
		startIdleTimer(transaction);
		return addSpans(answer, clock);
	};

	const commit = async ({transaction, id, text, timeout}: JobOf<'commit'>, maySend: () => boolean): Promise<JobAnswer> => {
		if (!maySend()) {
			await rollBack(transaction);
			return notSentAnswer;
		}

		const pooled = takeTransaction(transaction);
		if (pooled === undefined) {
			return {kind: 'notSent', reason: 'the transaction is not open any more'};
		}

		const clock = createJobClock(now);
		clock.noteSent();
		const answer = await send(pooled, {kind: 'forward', id, text}, timeout);
		pool.release(pooled, isClean(answer, pooled));
		return addSpans(answer, clock);
	};

	const rollBack = async (transaction: number): Promise<JobAnswer> => {
		const pooled = takeTransaction(transaction);
		if (pooled === undefined) {
			return {kind: 'notSent', reason: 'the transaction is not open any more'};
		}

		const answer = await send(pooled, {kind: 'rollback'}, rollbackTimeout);
		pool.release(pooled, isClean(answer, pooled));
		return answer;
	};

	const askPosition = async (workspace: string): Promise<JobAnswer> => {
		const pooled = pool.takeIdle() ?? await acquire({workspace, priority: 0, timeout: positionPatience}, createJobClock(now));
		if ('kind' in pooled) {
			return pooled;
		}

		const answer = await send(pooled, {kind: 'reset'}, positionTimeout);
		pooled.values.clear();
		pooled.prepared.clear();
		pool.release(pooled, isClean(answer, pooled) && answer.kind === 'answered' && answer.outcome.kind === 'done');
		return answer;
	};

	return async (job, maySend) => {
		switch (job.kind) {
			case 'single': {
				return runSingle(job, maySend);
			}

			case 'begin': {
				return begin(job, maySend);
			}

			case 'within': {
				return runWithin(job, maySend);
			}

			case 'commit': {
				return commit(job, maySend);
			}

			case 'rollback': {
				return rollBack(job.transaction);
			}

			case 'position': {
				return askPosition(job.workspace);
			}
		}
	};
}

function addSpans(answer: JobAnswer, clock: JobClock): JobAnswer {
	return answer.kind === 'answered' ? {...answer, spans: clock.finish()} : answer;
}

/** Whether a connection may be used by another session after an answer. */
function isClean(answer: JobAnswer, {link}: PooledLink): boolean {
	if (answer.kind === 'notSent') {
		return !link.isClosed();
	}

	const hasLostNames = answer.kind === 'answered' && answer.outcome.kind === 'failed' && answer.outcome.code === 'unknownStatement';
	return answer.kind === 'answered' && answer.state === 'idle' && !hasLostNames;
}
