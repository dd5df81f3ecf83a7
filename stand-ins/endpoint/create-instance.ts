import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {type InstanceRole as Role, type SqlStatement} from '@sapphirefall/decisions';
import {
	BatchResponseSchema, decodeStatement, encodeResult, EndpointFault, InstanceReportSchema, InstanceRole,
	type BatchRequest, type BatchResponse, type InstanceReport, type LogEntry,
} from '@sapphirefall/wire';
import {createEngine} from './_create-engine.ts';
import {createSemaphore} from './_create-semaphore.ts';
import {createSession} from './_create-session.ts';
import {createTransactionManager} from './_create-transaction-manager.ts';
import {openJournal} from './_open-journal.ts';
import {openReplicaLog} from './_open-replica-log.ts';
import type {Session} from './_session.ts';

type Options = {
	readonly id: string;
	readonly journalFile: string | undefined;
	/** Number of batches and transactions in progress at a time. */
	readonly slots: number;
	/** Milliseconds that a batch occupies its slot. */
	readonly serviceTime: number;
	/** Milliseconds to wait for a slot or for the write lock. */
	readonly lockTimeout: number;
	/** Called when the role, the term or the followed primary is set. */
	readonly onRoleChange: (role: Role, term: number) => void;
};

const roleMessages: Readonly<Record<Role, InstanceRole>> = {
	primary: InstanceRole.PRIMARY, replica: InstanceRole.REPLICA, fenced: InstanceRole.FENCED,
};

/**
 * Creates an instance of a database group, with an SQL engine, a replicated log, a term and a role.
 *
 * Transactions run serially: each holds one lock on the engine from its first statement to its end.
 */
export function createInstance(options: Options) {
	const engine = createEngine();
	const journal = openJournal(options.journalFile);
	const log = openReplicaLog(engine, journal);
	const lock = createSemaphore(1);
	const transactions = createTransactionManager(engine, {...options, lock});
	const {end, rollBack} = transactions;
	const pullWaiters = new Set<() => void>();
	let term = 0;
	let owner = '';
	let role: Role = 'fenced';
	let primaryAddress = '';
	let roleChange = new AbortController();

	for (const record of journal.read()) {
		if (record.kind === 'term') {
			({term, owner} = record);
			role = record.role as Role;
			primaryAddress = record.primary;
		}
	}

	const applyRole = (next: {term: number; owner: string; role: Role; primary: string}) => {
		({term, owner, role} = next);
		primaryAddress = next.primary;
		journal.write({kind: 'term', ...next});
		options.onRoleChange(role, term);
		roleChange.abort();
		roleChange = new AbortController();
	};

	const notifyPullWaiters = () => {
		for (const wake of pullWaiters) {
			wake();
		}

		pullWaiters.clear();
	};

	const createReport = (id = 0): InstanceReport => create(InstanceReportSchema, {
		id, instance: options.id, term, role: roleMessages[role], at: log.lastPoint(),
	});

	const createFault = (request: BatchRequest, fault: EndpointFault, message: string): BatchResponse =>
		create(BatchResponseSchema, {
			id: request.id, fault, message, at: log.lastPoint(),
		});

	const checkTerm = (request: BatchRequest): boolean =>
		request.term === term && (request.readOnly ? role !== 'fenced' : role === 'primary');

	const runStatements = (session: Session, request: BatchRequest): BatchResponse => {
		engine.run({sql: `PRAGMA query_only = ${request.readOnly ? 'ON' : 'OFF'}`, parameters: []});
		try {
			const results = request.statements
				.map((statement): SqlStatement => decodeStatement(statement))
				.map(statement => encodeResult(engine.run(statement)));
			session.transaction?.push(...request.statements);
			return create(BatchResponseSchema, {id: request.id, results});
		} finally {
			engine.run({sql: 'PRAGMA query_only = OFF', parameters: []});
		}
	};

	const commit = (session: Session, isReadOnly: boolean) => {
		const statements = session.transaction ?? [];
		end(session, 'COMMIT');
		if (!isReadOnly && statements.length > 0) {
			log.append(term, statements);
			notifyPullWaiters();
		}
	};

	const runInLock = (session: Session, request: BatchRequest, isAutocommit: boolean): BatchResponse => {
		if (session.isAborted || session.transaction === undefined || !checkTerm(request)) {
			rollBack(session);
			session.isAborted = false;
			return createFault(request, EndpointFault.TERM, `the instance is ${role} of term ${term}`);
		}

		try {
			const response = runStatements(session, request);
			if (request.rollback) {
				end(session, 'ROLLBACK');
			} else if (request.commit || isAutocommit) {
				commit(session, request.readOnly);
			}

			const {term: endTerm, position} = log.lastPoint();
			return {...response, at: {$typeName: 'sapphirefall.v1.LogPoint', term: endTerm, position}};
		} catch (error) {
			rollBack(session);
			return createFault(request, EndpointFault.STATEMENT, (error as Error).message);
		}
	};

	return {
		createReport,
		/** Returns the role and term, with a signal that is aborted when either is set again. */
		getRole: () => ({
			role, term, primaryAddress, signal: roleChange.signal,
		}),
		createSession,

		/** Runs a batch of a connection. Answers with a fault if the batch cannot run. */
		async runBatch(session: Session, request: BatchRequest): Promise<BatchResponse> {
			if (!checkTerm(request)) {
				return runInLock(session, request, false);
			}

			const hasSlot = await transactions.acquireSlot(session);
			if (!hasSlot) {
				return createFault(request, EndpointFault.BUSY, 'no slot came free');
			}

			try {
				if (options.serviceTime > 0) {
					await sleep(options.serviceTime);
				}

				const isAutocommit = !request.begin && session.transaction === undefined && !session.isAborted;
				const hasTransaction = !(request.begin || isAutocommit) || await transactions.begin(session);
				return hasTransaction
					? runInLock(session, request, isAutocommit)
					: createFault(request, EndpointFault.BUSY, 'the write lock did not come free');
			} finally {
				session.isRunning = false;
				if (session.isClosed) {
					rollBack(session);
				}

				transactions.releaseSlot(session);
			}
		},

		/** Marks a connection as closed and rolls back its open transaction. */
		closeSession(session: Session) {
			session.isClosed = true;
			rollBack(session);
			transactions.releaseSlot(session);
		},

		/** Grants a term to an owner if it is higher than all terms granted before, or if this owner already has it. */
		fence(request: {readonly term: number; readonly owner: string}): boolean {
			if (request.term > term) {
				transactions.abortOpenTransaction();
				applyRole({
					term: request.term, owner: request.owner, role: 'fenced', primary: '',
				});
				notifyPullWaiters();
			}

			return request.term === term && request.owner === owner;
		},

		/** Makes this instance the primary of the term that it granted to this owner. Idempotent. */
		promote(request: {readonly term: number; readonly owner: string}): boolean {
			if (request.term !== term || request.owner !== owner || role === 'replica') {
				return false;
			}

			if (role === 'fenced') {
				applyRole({
					term, owner, role: 'primary', primary: '',
				});
				log.append(term, []);
				notifyPullWaiters();
			}

			return true;
		},

		/** Makes this instance a replica of a primary in a term, unless the term is stale. */
		follow(request: {readonly term: number; readonly primaryAddress: string}): boolean {
			if (request.term < term || (request.term === term && role === 'primary')) {
				return false;
			}

			transactions.abortOpenTransaction();
			applyRole({
				term: request.term,
				owner: request.term > term ? '' : owner,
				role: 'replica',
				primary: request.primaryAddress,
			});
			return true;
		},

		/** Lists entries after a point for a replica. Waits up to `wait` milliseconds if there are none yet. */
		async listEntries(request: {readonly term: number; readonly after: {readonly term: number; readonly position: bigint}; readonly wait: number}) {
			const isServing = () => role === 'primary' && term === request.term;
			if (!isServing()) {
				return {isAccepted: false, isDiverged: false, entries: []};
			}

			const {after} = request;
			if (after.position > 0n && log.readEntry(after.position)?.at?.term !== after.term) {
				return {isAccepted: true, isDiverged: true, entries: []};
			}

			if (log.lastPoint().position === after.position) {
				await new Promise<void>(resolve => {
					pullWaiters.add(resolve);
					setTimeout(resolve, request.wait);
				});
			}

			return {isAccepted: isServing(), isDiverged: false, entries: isServing() ? log.listAfter(after.position) : []};
		},

		/** Replaces all entries after a position by those of the primary. Both logs agree up to that position. */
		async applyEntries(after: bigint, entries: readonly LogEntry[]) {
			const isAcquired = await lock.acquire(options.lockTimeout);
			if (!isAcquired) {
				return;
			}

			try {
				if (role === 'replica') {
					log.truncate(after);
					log.apply(entries);
				}
			} finally {
				lock.release();
			}
		},
		findTermAt: (position: bigint) => log.readEntry(position)?.at?.term ?? 0,
		findLastPoint: () => log.lastPoint(),
	};
}
