import {addSpans} from './add-spans.ts';
import {admitJob} from './cold-instances/admit-job.ts';
import type {InstanceAdmission} from './cold-instances/instance-admission.ts';
import {createJobTimer} from './create-job-timer.ts';
import {createLocalTransactions} from './create-local-transactions.ts';
import {createNotEnteredAnswer} from './create-not-entered-answer.ts';
import type {InstancePool} from './pools/instance-pool.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isClean} from './is-clean.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import {createAcquireRequest} from './pace/create-acquire-request.ts';
import {createEnterRequest} from './pace/create-enter-request.ts';
import type {EnteringRequest} from './pace/entering-request.ts';
import {findPaceObservation} from './pace/find-pace-observation.ts';
import type {StatementGate} from './pace/statement-gate.ts';
import {runQuery} from './run-query.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {takeConnection} from './pools/take-connection.ts';
import {sendBegin} from './send-begin.ts';
import {sendSetup} from './send-setup.ts';

type Options = {
	readonly pool: InstancePool;
	readonly gate: StatementGate;
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

type EndOptions = {
	readonly request: InstanceRequest;
	/** Milliseconds to wait for the answer. */
	readonly timeout: number;
};

type BeginOptions = {
	readonly request: EnteringRequest;
	readonly timer: ReturnType<typeof createJobTimer>;
	readonly maySend: () => boolean;
	/** Records that the transaction has ended. */
	readonly endTransaction: () => void;
};

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
	pool, gate, send, admission, now,
}: Options): TransactionRunner {
	const transactions = createLocalTransactions(transaction => {
		void rollBack(transaction);
	});
	/** What to call when the transaction on a connection has ended. */
	const endings = new WeakMap<PooledConnection, () => void>();

	/** Ends the transactions whose connections were lost while they were idle; the instance has rolled them back. */
	const endLost = () => {
		for (const transaction of transactions.listLost()) {
			const pooled = transactions.take(transaction);
			if (pooled !== undefined) {
				end(pooled, false);
			}
		}
	};

	const begin: TransactionRunner['begin'] = async (job, maySend) => {
		endLost();
		const timer = createJobTimer(now);
		const request = createEnterRequest(job, now());
		const entered = await gate.enter(request);
		if (entered.kind !== 'entered') {
			return createNotEnteredAnswer(entered);
		}

		const {place, endTransaction} = entered;
		let hasBegun = false;
		try {
			const answer = await beginOnConnection(job, {
				request, timer, maySend, endTransaction,
			});
			hasBegun = answer.kind === 'answered' && answer.transaction !== undefined;
			// A transaction that begins takes no execution slot, so its answer does not tell how fast the instance runs statements.
			place.leave(hasBegun ? {kind: 'neutral'} : findPaceObservation(answer, undefined));
			return answer;
		} finally {
			// Gives the place back after an exception as well.
			place.leave({kind: 'neutral'});
			if (!hasBegun) {
				endTransaction();
			}
		}
	};

	const beginOnConnection = async (job: JobOf<'begin'>, {
		request, timer, maySend, endTransaction,
	}: BeginOptions): Promise<JobAnswer> => {
		const pooled = await takeConnection(pool, {request: createAcquireRequest(request, now()), timer});
		if ('kind' in pooled) {
			return pooled;
		}

		let hasBegun = false;
		let isReusable = false;
		try {
			const answer = await sendBegin(pooled, {
				job, send, admission, deadline: request.deadline, timer, maySend, now,
			});
			if (answer.kind !== 'answered' || answer.outcome.kind !== 'done' || answer.state !== 'open') {
				isReusable = isClean(answer, pooled);
				return answer;
			}

			hasBegun = true;
			endings.set(pooled, endTransaction);
			return {...answer, transaction: transactions.add(pooled, job.idleLimit), spans: timer.finish()};
		} finally {
			if (!hasBegun) {
				pool.release(pooled, isReusable);
			}
		}
	};

	/** Gives back the connection of a transaction that has ended. */
	const end = (pooled: PooledConnection, isReusable: boolean) => {
		pool.release(pooled, isReusable);
		endings.get(pooled)?.();
		endings.delete(pooled);
	};

	/** Sends the request that ends a transaction, and gives back its connection, also after an exception. */
	const sendEnd = async (pooled: PooledConnection, {request, timeout}: EndOptions): Promise<InstanceAnswer> => {
		let isReusable = false;
		try {
			const answer = await send(pooled, request, timeout);
			isReusable = isClean(answer, pooled);
			return answer;
		} finally {
			end(pooled, isReusable);
		}
	};

	const runWithin: TransactionRunner['runWithin'] = async ({transaction, setup, query, timeout}, maySend) => {
		const pooled = transactions.use(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const deadline = now() + timeout;
		const timer = createJobTimer(now);
		const place = await gate.enterWithin();
		if (!transactions.isOpen(transaction)) {
			place.leave({kind: 'neutral'});
			return notOpenAnswer;
		}

		timer.recordAcquired(0);
		try {
			const admitted = await admitJob(admission, {
				maxWaitMs: Math.min(permitWaitMs, timeout), maySend: () => maySend() && transactions.isOpen(transaction),
			});
			if (typeof admitted !== 'function') {
				return admitted;
			}

			const answer = await runQuery(pooled, {
				send,
				setup,
				query,
				after: undefined,
				isInTransaction: true,
				timeout: Math.max(1, deadline - now()),
				maySend() {
					timer.recordSent();
					return maySend() && transactions.isOpen(transaction) && now() < deadline && admitted();
				},
			});
			place.leave(findPaceObservation(answer, timer.finish().instance));
			return addSpans(answer, timer);
		} finally {
			transactions.release(transaction);
			place.leave({kind: 'neutral'});
		}
	};

	const commit: TransactionRunner['commit'] = async (job, maySend) => {
		const {transaction, timeout} = job;
		const deadline = now() + timeout;
		const admitted = await admitJob(admission, {maxWaitMs: Math.min(permitWaitMs, timeout), maySend});
		if (typeof admitted !== 'function') {
			await rollBack(transaction);
			return admitted;
		}

		const mayCommit = () => maySend() && admitted();
		const failure = await sendNewValues(job, mayCommit);
		if (failure !== undefined) {
			return failure;
		}

		if (!mayCommit()) {
			await rollBack(transaction);
			return notSentAnswer;
		}

		const pooled = transactions.take(transaction);
		return pooled === undefined ? notOpenAnswer : sendCommit(pooled, job, Math.max(1, deadline - now()));
	};

	/**
	 * Sets the values on the connection that the session has set since the last statement of the transaction. If that
	 * fails, ends the transaction and returns the answer to its commit.
	 */
	const sendNewValues = async ({transaction, setup, timeout}: JobOf<'commit'>, maySend: () => boolean): Promise<JobAnswer | undefined> => {
		const pooled = setup === undefined || !maySend() ? undefined : transactions.use(transaction);
		if (pooled === undefined || setup === undefined) {
			return undefined;
		}

		try {
			const failure = await sendSetup(pooled, {
				setup, prepared: undefined, isInTransaction: true, send, timeout,
			});
			if (failure !== undefined && transactions.take(transaction) !== undefined) {
				end(pooled, false);
			}

			return failure;
		} finally {
			transactions.release(transaction);
		}
	};

	const sendCommit = async (pooled: PooledConnection, {id, text}: JobOf<'commit'>, timeout: number): Promise<JobAnswer> => {
		const timer = createJobTimer(now);
		timer.recordSent();
		const place = gate.enterCommit();
		try {
			const answer = await sendEnd(pooled, {request: {kind: 'forward', id, text}, timeout});
			place.leave(findPaceObservation(answer, undefined));
			return addSpans(answer, timer);
		} finally {
			place.leave({kind: 'neutral'});
		}
	};

	const rollBack: TransactionRunner['rollBack'] = async transaction => {
		const pooled = transactions.take(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		return sendEnd(pooled, {request: {kind: 'rollback'}, timeout: rollbackTimeoutMs});
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
					end(pooled, false);
				}
			}
		},
	};
}
