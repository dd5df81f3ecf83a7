import {addSpans} from './add-spans.ts';
import {applySetup} from './apply-setup.ts';
import {createJobTimer} from './create-job-timer.ts';
import {createLocalTransactions} from './create-local-transactions.ts';
import {createNotEnteredAnswer} from './create-not-entered-answer.ts';
import type {InstancePool} from './pools/instance-pool.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isClean} from './is-clean.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import {findPaceObservation} from './pace/find-pace-observation.ts';
import type {StatementGate} from './pace/statement-gate.ts';
import {runQuery} from './run-query.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {takeConnection} from './pools/take-connection.ts';

type Options = {
	readonly pool: InstancePool;
	readonly gate: StatementGate;
	readonly send: InstanceRuntime['send'];
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
};

type BeginOptions = {
	/** Time in milliseconds of the steady clock at which the transaction must have begun. */
	readonly deadline: number;
	readonly timer: ReturnType<typeof createJobTimer>;
	readonly maySend: () => boolean;
};

/** Time within which an instance must answer each request that sets up and begins a transaction. */
const beginTimeoutMs = 600;

/** Time within which an instance must answer a rollback before the connection is closed instead. */
const rollbackTimeoutMs = 500;

/** Answer to a job of a transaction that has ended. */
const notOpenAnswer: JobAnswer = {kind: 'notSent', reason: 'the transaction is not open any more'};

/** Creates what runs the jobs of transactions; one that is idle for too long is rolled back. */
export function createTransactionRunner({
	pool, gate, send, now,
}: Options): TransactionRunner {
	const transactions = createLocalTransactions(transaction => {
		void rollBack(transaction);
	});

	/** Ends the transactions whose connections were lost while they were idle; the instance has rolled them back. */
	const endLost = () => {
		for (const transaction of transactions.listLost()) {
			const pooled = transactions.take(transaction);
			if (pooled !== undefined) {
				end(pooled, notOpenAnswer);
			}
		}
	};

	const begin: TransactionRunner['begin'] = async (job, maySend) => {
		endLost();
		const deadline = now() + job.timeout;
		const timer = createJobTimer(now);
		const {workspace, priority} = job;
		const entered = await gate.enter({
			kind: 'begin', workspace, priority, deadline,
		});
		if (entered.kind !== 'entered') {
			return createNotEnteredAnswer(entered);
		}

		const answer = await beginOnConnection(job, {deadline, timer, maySend});
		const hasBegun = answer.kind === 'answered' && answer.transaction !== undefined;
		// A transaction that begins takes no execution slot, so its answer does not tell how fast the instance runs statements.
		entered.place.leave(hasBegun ? {kind: 'neutral'} : findPaceObservation(answer, undefined));
		if (!hasBegun) {
			gate.endTransaction();
		}

		return answer;
	};

	const beginOnConnection = async (job: JobOf<'begin'>, {deadline, timer, maySend}: BeginOptions): Promise<JobAnswer> => {
		const {workspace, priority} = job;
		const pooled = await takeConnection(pool, {request: {workspace, priority, timeout: deadline - now()}, timer});
		if ('kind' in pooled) {
			return pooled;
		}

		const {setup, isReadOnly, after, idleLimit} = job;
		const isReady = await applySetup(pooled, {
			setup, prepared: undefined, isInTransaction: false, send: async request => send(pooled, request, beginTimeoutMs),
		});
		if (!isReady || !maySend() || now() >= deadline) {
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

	/** Gives back the connection of a transaction that has ended. */
	const end = (pooled: PooledConnection, answer: JobAnswer) => {
		pool.release(pooled, isClean(answer, pooled));
		gate.endTransaction();
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
		const answer = await runQuery(pooled, {
			send,
			setup,
			query,
			after: undefined,
			isInTransaction: true,
			timeout: Math.max(1, deadline - now()),
			maySend() {
				timer.recordSent();
				return maySend() && transactions.isOpen(transaction) && now() < deadline;
			},
		});
		transactions.release(transaction);
		place.leave(findPaceObservation(answer, timer.finish().instance));
		return addSpans(answer, timer);
	};

	const commit: TransactionRunner['commit'] = async ({transaction, id, text, timeout}, maySend) => {
		if (!maySend()) {
			await rollBack(transaction);
			return notSentAnswer;
		}

		const pooled = transactions.take(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const timer = createJobTimer(now);
		timer.recordSent();
		const place = gate.enterCommit();
		const answer = await send(pooled, {kind: 'forward', id, text}, timeout);
		end(pooled, answer);
		place.leave(findPaceObservation(answer, undefined));
		return addSpans(answer, timer);
	};

	const rollBack: TransactionRunner['rollBack'] = async transaction => {
		const pooled = transactions.take(transaction);
		if (pooled === undefined) {
			return notOpenAnswer;
		}

		const answer = await send(pooled, {kind: 'rollback'}, rollbackTimeoutMs);
		end(pooled, answer);
		return answer;
	};

	return {
		begin, runWithin, commit, rollBack,
	};
}
