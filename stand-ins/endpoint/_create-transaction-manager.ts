import {createSemaphore} from './_create-semaphore.ts';
import type {Engine} from './_engine.ts';
import type {Semaphore} from './_semaphore.ts';
import type {Session} from './_session.ts';

type Options = {
	/** Write lock that a transaction holds from its first statement to its end. */
	readonly lock: Semaphore;
	/** Number of batches and transactions in progress at a time. */
	readonly slots: number;
	/** Milliseconds to wait for a slot or for the write lock. */
	readonly lockTimeout: number;
};

/** Milliseconds after its start at which an open transaction is rolled back, so that an abandoned one releases the lock. */
const transactionTimeoutMs = 2000;

/** Creates a manager that begins and ends the transactions of an engine, one at a time, and limits concurrent batches by slots. */
export function createTransactionManager(engine: Engine, options: Options) {
	const {lock, lockTimeout} = options;
	const slots = createSemaphore(options.slots);
	let openSession: Session | undefined;
	let transactionTimer: NodeJS.Timeout | undefined;

	const end = (session: Session, command: 'COMMIT' | 'ROLLBACK') => {
		engine.run({sql: command, parameters: []});
		session.transaction = undefined;
		openSession = undefined;
		clearTimeout(transactionTimer);
		lock.release();
	};

	const rollBack = (session: Session) => {
		if (session.transaction !== undefined) {
			end(session, 'ROLLBACK');
		}
	};

	/** Releases the slot of a session unless a transaction or a running batch still needs it. */
	const releaseSlot = (session: Session) => {
		if (session.hasSlot && !session.isRunning && session.transaction === undefined) {
			session.hasSlot = false;
			slots.release();
		}
	};

	/** Rolls back the open transaction on behalf of the instance, after a timeout or a change of role. */
	const abortOpenTransaction = () => {
		const session = openSession;
		if (session?.transaction !== undefined) {
			session.isAborted = true;
			end(session, 'ROLLBACK');
			releaseSlot(session);
		}
	};

	return {
		end,
		rollBack,
		releaseSlot,
		abortOpenTransaction,
		/** Acquires a slot for a batch. Resolves to `false` if none becomes free within the timeout. */
		async acquireSlot(session: Session): Promise<boolean> {
			session.isRunning = true;
			session.hasSlot ||= await slots.acquire(lockTimeout);
			session.isRunning = session.hasSlot;
			return session.hasSlot;
		},
		/** Begins a transaction. Resolves to `false` if the lock does not become free within the timeout. */
		async begin(session: Session): Promise<boolean> {
			const isAcquired = await lock.acquire(lockTimeout);
			if (!isAcquired) {
				return false;
			}

			engine.run({sql: 'BEGIN', parameters: []});
			session.transaction = [];
			openSession = session;
			clearTimeout(transactionTimer);
			transactionTimer = setTimeout(abortOpenTransaction, transactionTimeoutMs);
			return true;
		},
	};
}
