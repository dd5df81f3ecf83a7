import {addSpans} from './add-spans.ts';
import {applySetup} from './apply-setup.ts';
import {admitJob} from './cold-instances/admit-job.ts';
import type {InstanceAdmission} from './cold-instances/instance-admission.ts';
import {createJobTimer} from './create-job-timer.ts';
import {createLocalTransactions} from './create-local-transactions.ts';
import type {InstancePool} from './pools/instance-pool.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isClean} from './is-clean.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import {runQuery} from './run-query.ts';
import {takeConnection} from './pools/take-connection.ts';

type Options = {
	readonly pool: InstancePool;
	readonly send: InstanceRuntime['send'];
	/** Admits statements while the instance is cold. */
	readonly admission: InstanceAdmission;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

type JobOf<Kind extends Job['kind']> = Extract<Job, {readonly kind: Kind}>;

/** Runs the jobs of transactions on this host's own connections to an instance. */
type TransactionRunner = {
	/** Begins a transaction; an answer that it is open has its number. */
	readonly begin: (job: JobOf<'begin'>, maySend: () => boolean) => Promise<JobAnswer>;
	readonly runWithin: (job: JobOf<'within'>, maySend: () => boolean) => Promise<JobAnswer>;
	readonly commit: (job: JobOf<'commit'>, maySend: () => boolean) => Promise<JobAnswer>;
	readonly rollBack: (transaction: number) => Promise<JobAnswer>;
	/** Ends the transactions that run no job: rolls them back, or closes their connections if nothing may be sent. */
	readonly endIdle: (maySend: boolean) => void;
};

/** Time within which an instance must answer each request that sets up and begins a transaction. */
const beginTimeoutMs = 600;

/** Time within which an instance must answer a rollback before the connection is closed instead. */
const rollbackTimeoutMs = 500;

/**
 * Longest wait of a statement of a transaction for a permit to a cold instance. It waits, since the transaction would be lost
 * with it; a transaction that has not begun can begin elsewhere.
 */
const permitWaitMs = 1000;

/** Answer to a job of a transaction that has ended. */
const notOpenAnswer: JobAnswer = {kind: 'notSent', reason: 'the transaction is not open any more'};

/** Creates what runs the jobs of transactions; one that is idle for too long is rolled back. */
export function createTransactionRunner({
	pool, send, admission, now,
}: Options): TransactionRunner {
	const transactions = createLocalTransactions(transaction => {
		void rollBack(transaction);
	});

	const begin: TransactionRunner['begin'] = async (job, maySend) => {
		const deadline = now() + job.timeout;
		const timer = createJobTimer(now);
		const pooled = await takeConnection(pool, {request: job, timer});
		if ('kind' in pooled) {
			return pooled;
		}

		const admitted = await admitJob(admission, {maxWaitMs: 0, maySend});
		if (typeof admitted !== 'function') {
			pool.release(pooled, true);
			return admitted;
		}

		const {setup, isReadOnly, after, idleLimit} = job;
		const isReady = await applySetup(pooled, {
			setup, prepared: undefined, isInTransaction: false, send: async request => send(pooled, request, beginTimeoutMs),
		});
		if (!isReady || !maySend() || now() >= deadline || !admitted()) {
			pool.release(pooled, isReady);
			return isReady ? notSentAnswer : {kind: 'notSent', reason: 'the connection did not take the session\'s values'};
		}

		timer.recordSent();
		const answer = await send(pooled, {kind: 'begin', isReadOnly, after}, Math.max(1, Math.min(beginTimeoutMs, deadline - now())));
		if (answer.kind !== 'answered' || answer.outcome.kind !== 'done' || answer.state !== 'open') {
			pool.release(pooled, isClean(answer, pooled));
			return answer;
		}

		return {...answer, transaction: transactions.add(pooled, idleLimit), spans: timer.finish()};
	};

	const runWithin: TransactionRunner['runWithin'] = async ({transaction, setup, query, timeout}, maySend) => {
		const pooled = transactions.use(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const timer = createJobTimer(now);
		const admitted = await admitJob(admission, {
			maxWaitMs: Math.min(permitWaitMs, timeout), maySend: () => maySend() && transactions.isOpen(transaction),
		});
		if (typeof admitted !== 'function') {
			transactions.release(transaction);
			return admitted;
		}

		const answer = await runQuery(pooled, {
			send,
			setup,
			query,
			after: undefined,
			isInTransaction: true,
			timeout,
			maySend() {
				timer.recordSent();
				return maySend() && transactions.isOpen(transaction) && admitted();
			},
		});
		transactions.release(transaction);
		return addSpans(answer, timer);
	};

	const commit: TransactionRunner['commit'] = async ({transaction, id, text, timeout}, maySend) => {
		const admitted = await admitJob(admission, {maxWaitMs: Math.min(permitWaitMs, timeout), maySend});
		if (typeof admitted !== 'function' || !maySend() || !admitted()) {
			await rollBack(transaction);
			return typeof admitted === 'function' ? notSentAnswer : admitted;
		}

		const pooled = transactions.take(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const timer = createJobTimer(now);
		timer.recordSent();
		const answer = await send(pooled, {kind: 'forward', id, text}, timeout);
		pool.release(pooled, isClean(answer, pooled));
		return addSpans(answer, timer);
	};

	const rollBack: TransactionRunner['rollBack'] = async transaction => {
		const pooled = transactions.take(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const answer = await send(pooled, {kind: 'rollback'}, rollbackTimeoutMs);
		pool.release(pooled, isClean(answer, pooled));
		return answer;
	};

	return {
		begin,
		runWithin,
		commit,
		rollBack,
		endIdle(maySend) {
			for (const transaction of transactions.listIdle()) {
				const pooled = maySend ? undefined : transactions.take(transaction);
				if (pooled === undefined) {
					void rollBack(transaction);
				} else {
					pool.release(pooled, false);
				}
			}
		},
	};
}
