import {addSpans} from './add-spans.ts';
import {createJobTimer} from './create-job-timer.ts';
import {admitJob} from './cold-instances/admit-job.ts';
import type {InstanceAdmission} from './cold-instances/instance-admission.ts';
import {createNotEnteredAnswer} from './create-not-entered-answer.ts';
import {createTransactionRunner} from './create-transaction-runner.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isClean} from './is-clean.ts';
import type {JobAnswer} from './job-answer.ts';
import type {JobRunner} from './job-runner.ts';
import type {Job} from './job.ts';
import {createAcquireRequest} from './pace/create-acquire-request.ts';
import {createEnterRequest} from './pace/create-enter-request.ts';
import {findPaceObservation} from './pace/find-pace-observation.ts';
import type {StatementGate} from './pace/statement-gate.ts';
import type {InstancePool} from './pools/instance-pool.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {takeConnection} from './pools/take-connection.ts';
import {runQuery} from './run-query.ts';

type Options = {
	readonly pool: InstancePool;
	readonly gate: StatementGate;
	readonly send: InstanceRuntime['send'];
	/** Admits statements while the instance is cold. */
	readonly admission: InstanceAdmission;
	/** Returns the smoothed statement latency of the instance in milliseconds. */
	readonly latency: () => number;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Runs jobs on this host's own connections to an instance. */
type LocalRunner = {
	readonly run: JobRunner;
	/** Ends the transactions that run no job; see `createTransactionRunner`. */
	readonly endIdleTransactions: (maySend: boolean) => void;
};

type JobOf<Kind extends Job['kind']> = Extract<Job, {readonly kind: Kind}>;

type RunOptions = {
	readonly pooled: PooledConnection;
	readonly timer: ReturnType<typeof createJobTimer>;
	/** Time in milliseconds of the steady clock after which nothing is sent. */
	readonly deadline: number;
	readonly maySend: () => boolean;
};

/** Time within which an instance must answer a read, before the read is tried elsewhere: a multiple of its latency. */
const readTimeout = {minMs: 500, latencyFactor: 10};

/** Time for which a position query waits for a connection. */
const positionAcquireTimeoutMs = 300;

/** Time within which an instance must answer a position query. */
const positionTimeoutMs = 600;

/** Creates the runner of jobs on this host's own connections to an instance. */
export function createLocalRunner({
	pool, gate, send, admission, latency, now,
}: Options): LocalRunner {
	const transactions = createTransactionRunner({
		pool, gate, send, admission, now,
	});

	const runSingle = async (job: JobOf<'single'>, maySend: () => boolean): Promise<JobAnswer> => {
		const timer = createJobTimer(now);
		const request = createEnterRequest(job, now());
		const entered = await gate.enter(request);
		if (entered.kind !== 'entered') {
			return createNotEnteredAnswer(entered);
		}

		const {place} = entered;
		try {
			const pooled = await takeConnection(pool, {request: createAcquireRequest(request, now()), timer});
			if ('kind' in pooled) {
				place.leave(findPaceObservation(pooled, undefined));
				return pooled;
			}

			const answer = await runOnConnection(job, {
				pooled, timer, deadline: request.deadline, maySend,
			});
			place.leave(findPaceObservation(answer, timer.finish().instance));
			return addSpans(answer, timer);
		} finally {
			// Gives the place back after an exception as well.
			place.leave({kind: 'neutral'});
		}
	};

	const runOnConnection = async ({setup, query, after}: JobOf<'single'>, {
		pooled, timer, deadline, maySend,
	}: RunOptions): Promise<JobAnswer> => {
		let isReusable = false;
		try {
			const admitted = await admitJob(admission, {maxWaitMs: 0, maySend});
			if (typeof admitted !== 'function') {
				isReusable = true;
				return admitted;
			}

			const remaining = Math.max(1, deadline - now());
			const readTimeoutMs = Math.max(readTimeout.minMs, readTimeout.latencyFactor * latency());
			const answer = await runQuery(pooled, {
				send,
				setup,
				query,
				after,
				isInTransaction: false,
				timeout: query.access === 'read' ? Math.min(readTimeoutMs, remaining) : remaining,
				maySend() {
					timer.recordSent();
					return maySend() && now() < deadline && admitted();
				},
			});
			isReusable = isClean(answer, pooled);
			return answer;
		} finally {
			pool.release(pooled, isReusable);
		}
	};

	/** Queries the position with a reset, which any idle connection can run and which uses no execution slot. */
	const queryPosition = async (workspace: string): Promise<JobAnswer> => {
		const pooled = pool.takeIdle() ?? await takeConnection(pool, {
			request: {workspace, priority: 0, timeout: positionAcquireTimeoutMs}, timer: createJobTimer(now),
		});
		if ('kind' in pooled) {
			return pooled;
		}

		const answer = await send(pooled, {kind: 'reset'}, positionTimeoutMs);
		pooled.variables.clear();
		pooled.prepared.clear();
		pool.release(pooled, isClean(answer, pooled) && answer.kind === 'answered' && answer.outcome.kind === 'done');
		return answer;
	};

	const run: JobRunner = async (job, maySend) => {
		switch (job.kind) {
			case 'single': {
				return runSingle(job, maySend);
			}

			case 'begin': {
				return transactions.begin(job, maySend);
			}

			case 'within': {
				return transactions.runWithin(job, maySend);
			}

			case 'commit': {
				return transactions.commit(job, maySend);
			}

			case 'rollback': {
				return transactions.rollBack(job.transaction);
			}

			case 'position': {
				return queryPosition(job.workspace);
			}
		}
	};

	return {run, endIdleTransactions: transactions.endIdle};
}
