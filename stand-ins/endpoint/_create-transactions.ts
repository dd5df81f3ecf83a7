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
const idleTransactionLimit = 2000;

/** Creates what begins and ends the transactions of an engine, one at a time. */
export function createTransactions(engine: Engine, options: Options) {
	const {lock, lockTimeout} = options;
	const slots = createSemaphore(options.slots);
	let holder: Session | undefined;
	let idleTimer: NodeJS.Timeout | undefined;

	const end = (session: Session, command: 'COMMIT' | 'ROLLBACK') => {
		engine.run({sql: command, parameters: []});
		session.transaction = undefined;
		holder = undefined;
		clearTimeout(idleTimer);
		lock.leave();
	};

	const rollBack = (session: Session) => {
		if (session.transaction !== undefined) {
			end(session, 'ROLLBACK');
		}
	};

	/** Gives the slot back when neither a transaction nor a batch needs it. */
	const leaveSlot = (session: Session) => {
		if (session.hasSlot && !session.isRunning && session.transaction === undefined) {
			session.hasSlot = false;
			slots.leave();
		}
	};

	/** Rolls back the open transaction, as the instance does by itself. */
	const abortHolder = () => {
		const session = holder;
		if (session?.transaction !== undefined) {
			session.isAborted = true;
			end(session, 'ROLLBACK');
			leaveSlot(session);
		}
	};

	return {
		end,
		rollBack,
		leaveSlot,
		abortHolder,
		/** Takes a slot for a batch; false when none came free in time. */
		async enterSlot(session: Session): Promise<boolean> {
			session.isRunning = true;
			session.hasSlot ||= await slots.enter(lockTimeout);
			session.isRunning = session.hasSlot;
			return session.hasSlot;
		},
		/** Begins a transaction; false when the lock did not come free in time. */
		async begin(session: Session): Promise<boolean> {
			const isEntered = await lock.enter(lockTimeout);
			if (!isEntered) {
				return false;
			}

			engine.run({sql: 'BEGIN', parameters: []});
			session.transaction = [];
			holder = session;
			clearTimeout(idleTimer);
			idleTimer = setTimeout(abortHolder, idleTransactionLimit);
			return true;
		},
	};
}
