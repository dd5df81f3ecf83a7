import {abandonedMarginMs} from './abandoned-margin-ms.ts';
import {findJobBytes} from './admission/find-job-bytes.ts';
import {runWithinBudget} from './admission/run-within-budget.ts';
import type {Access} from './access.ts';
import type {ByteBudget} from './byte-budget.ts';
import type {Caller} from './caller.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isZoneAllowed} from './regions/is-zone-allowed.ts';
import type {RegionMap} from './regions/region-map.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';

type Options = {
	readonly findInstance: (group: string, id: string) => InstanceRuntime | undefined;
	readonly findAccess: (caller: Caller) => Access;
	readonly regions: RegionMap;
	/** Bytes that large statements may take while they run. */
	readonly statementBudget: ByteBudget;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** A transaction that a job of another host began. */
type GatewayTransaction = {
	readonly instance: InstanceRuntime;
	/** Milliseconds for which the transaction may be idle. */
	readonly idleLimit: number;
	/** When its last job ended, in milliseconds of the steady clock; undefined while a job runs. */
	idleSince: number | undefined;
};

/** Runs jobs of other hosts on this host's connections to instances. */
type Gateway = {
	/** Runs a job of another host. A closed gateway refuses single statements, new transactions and position queries. */
	readonly runJob: FleetPeer['runJob'];
	/** Stops accepting new work; open transactions may still finish. */
	readonly close: () => void;
	/**
	 * Rolls back open transactions and lets the jobs finish that run. From then on no statement of a transaction and no
	 * commit is sent; the answer says so, and the host of the session that nothing is kept.
	 */
	readonly endTransactions: () => void;
	/** Counts running jobs and open transactions. */
	readonly countActive: () => number;
};

/** The answer to a statement or commit of a transaction that was rolled back because this host is stopping. */
const transactionEndedAnswer: JobAnswer = {kind: 'notSent', reason: 'the gateway is stopping'};

/** The answer to a job whose statement is too large for the memory that is left. */
const noMemoryAnswer: JobAnswer = {kind: 'notSent', reason: 'the gateway has no memory for another large statement now'};

/**
 * Creates the gateway of a host.
 *
 * A message between hosts may be delayed until after the caller's key or permission was revoked. The gateway therefore
 * checks the caller's access and the allowed regions again, against its own copy of the configuration, before it sends anything to the instance.
 */
export function createGateway({
	findInstance, findAccess, regions, statementBudget, now,
}: Options): Gateway {
	let running = 0;
	/** Open transactions by number. */
	const transactions = new Map<number, GatewayTransaction>();
	let isClosed = false;
	let areTransactionsEnded = false;

	/**
	 * Whether the caller of a job still has access in the name of the job's workspace, and to instances of a zone. A public
	 * route is open to every workspace.
	 */
	const hasAccess = ({caller, workspace}: {readonly caller: Caller; readonly workspace: string}, zone: string) => {
		const access = findAccess(caller);
		return access.kind === 'allowed' && (access.route.isPublic || access.workspace === workspace) && isZoneAllowed(zone, {allowed: access.allowedRegions, regions});
	};

	/** Drops transactions that the runtime has rolled back because their sessions sent nothing any more. */
	const dropAbandoned = () => {
		for (const [transaction, {idleLimit, idleSince}] of transactions) {
			if (idleSince !== undefined && now() > idleSince + idleLimit + abandonedMarginMs) {
				transactions.delete(transaction);
			}
		}
	};

	const setIdleSince = (transaction: number, idleSince: number | undefined) => {
		const known = transactions.get(transaction);
		if (known !== undefined) {
			known.idleSince = idleSince;
		}
	};

	const recordStart = (job: Job) => {
		if (job.kind === 'begin') {
			dropAbandoned();
		} else if ('transaction' in job) {
			setIdleSince(job.transaction, undefined);
		}
	};

	const recordEnd = (instance: InstanceRuntime, job: Job, answer: JobAnswer | undefined) => {
		if (job.kind === 'begin' && answer?.kind === 'answered' && answer.transaction !== undefined) {
			transactions.set(answer.transaction, {instance, idleLimit: job.idleLimit, idleSince: now()});
		} else if (job.kind === 'within') {
			// A statement that was not sent leaves the transaction open; the session's host has it rolled back.
			setIdleSince(job.transaction, now());
		} else if ('transaction' in job) {
			transactions.delete(job.transaction);
		}
	};

	const run = async (instance: InstanceRuntime, job: Job) => {
		let answer: JobAnswer | undefined;
		running++;
		recordStart(job);
		try {
			const maySend = () => 'caller' in job && hasAccess(job, instance.listed().zone) && (job.kind === 'single' || !areTransactionsEnded);
			// A job with a setup sends the session's values before the statement, and so is not begun without access; a commit
			// without access rolls its transaction back.
			answer = 'setup' in job && job.kind !== 'commit' && !maySend() ? notSentAnswer : await instance.runLocally(job, maySend);
			return answer;
		} finally {
			recordEnd(instance, job, answer);
			running--;
			if (areTransactionsEnded) {
				rollBackIdle();
			}
		}
	};

	/** Rolls back the transactions that run no job. */
	const rollBackIdle = () => {
		for (const [transaction, {instance, idleSince}] of transactions) {
			if (idleSince !== undefined) {
				transactions.delete(transaction);
				// A rollback that fails closes the connection, which rolls back as well.
				void Promise.allSettled([run(instance, {kind: 'rollback', transaction})]);
			}
		}
	};

	return {
		async runJob({group, id}, job) {
			const isNew = job.kind === 'single' || job.kind === 'begin' || job.kind === 'position';
			if (isClosed && isNew) {
				return 'stopping';
			}

			if (areTransactionsEnded && (job.kind === 'within' || job.kind === 'commit')) {
				return transactionEndedAnswer;
			}

			const instance = findInstance(group, id);
			if (instance === undefined) {
				return 'notServed';
			}

			return await runWithinBudget(async () => run(instance, job), {budget: statementBudget, bytes: findJobBytes(job)}) ?? noMemoryAnswer;
		},
		close() {
			isClosed = true;
		},
		endTransactions() {
			areTransactionsEnded = true;
			rollBackIdle();
		},
		countActive() {
			dropAbandoned();
			return running + transactions.size;
		},
	};
}
