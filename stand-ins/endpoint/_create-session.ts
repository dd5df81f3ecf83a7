import type {Session} from './_session.ts';

/** Creates the transaction state of a new connection. */
export function createSession(): Session {
	return {
		transaction: undefined, isAborted: false, hasSlot: false, isRunning: false, isClosed: false,
	};
}
