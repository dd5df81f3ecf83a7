import {createSemaphore} from './_create-semaphore.ts';
import type {Engine} from './_engine.ts';
import type {Semaphore} from './_semaphore.ts';
import type {Session} from './_session.ts';

type Options = {
	/** Held by a transaction from its first statement to its end. */
	readonly lock: Semaphore;
	readonly slots: number;
	/** Milliseconds to wait for a slot or for the lock. */
	readonly lockTimeout: number;
};

/** Milliseconds for which an idle open transaction may hold the lock. */
const idleTransactionTimeoutMs = 2000;

/** Creates what begins and ends the transactions of an engine, one at a time. */
export function createTransactionManager(engine: Engine, options: Options) {
	const {lock, lockTimeout} = options;
	const slots = createSemaphore(options.slots);
	let openSession: Session | undefined;
	let idleTimer: NodeJS.Timeout | undefined;

	const end = (session: Session, command: 'COMMIT' | 'ROLLBACK') => {
		engine.run({sql: command, parameters: []});
		session.transaction = undefined;
		openSession = undefined;
		clearTimeout(idleTimer);
		lock.release();
	};

	const rollBack = (session: Session) => {
		if (session.transaction !== undefined) {
			end(session, 'ROLLBACK');
		}
	};

	/** Gives the slot back when neither a transaction nor a batch needs it. */
	const releaseSlot = (session: Session) => {
		if (session.hasSlot && !session.isRunning && session.transaction === undefined) {
			session.hasSlot = false;
			slots.release();
		}
	};

	/** Rolls back the open transaction, as the instance does by itself. */
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
		leaveSlot: releaseSlot,
		abortHolder: abortOpenTransaction,
		/** Takes a slot for a batch; false when none came free in time. */
		async acquireSlot(session: Session): Promise<boolean> {
			session.isRunning = true;
			session.hasSlot ||= await slots.acquire(lockTimeout);
			session.isRunning = session.hasSlot;
			return session.hasSlot;
		},
		/** Begins a transaction; false when the lock did not come free in time. */
		async begin(session: Session): Promise<boolean> {
			const isEntered = await lock.acquire(lockTimeout);
			if (!isEntered) {
				return false;
			}

			engine.run({sql: 'BEGIN', parameters: []});
			session.transaction = [];
			openSession = session;
			clearTimeout(idleTimer);
			idleTimer = setTimeout(abortOpenTransaction, idleTransactionTimeoutMs);
			return true;
		},
	};
}
