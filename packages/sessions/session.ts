import type {ClientRequest} from './client-request.ts';
import type {SessionWork} from './session-work.ts';
import type {StopPhase} from './stop-phase.ts';

/** A caller's session, which ends with the caller's connection. */
export type Session = {
	/**
	 * Queues a message; messages are handled sequentially. Returns whether the session takes another one now; if not, it asks
	 * for more when it has handled those that it has.
	 */
	readonly receive: (request: ClientRequest) => boolean;
	/** Answers at once whatever runs or waits with what is known of it, and closes the session. */
	readonly abort: (reason: string) => void;
	/** Ends the session after the caller has disconnected; rolls back an open transaction. */
	readonly end: () => void;
	/**
	 * Takes the next step of a planned stop: closes the session if it is not in use, rolls an open transaction back when
	 * it has had its time, and at the end answers what still runs or waits before it closes the session.
	 */
	readonly step: (phase: StopPhase) => void;
	/** Finds what the session is doing now, for the log. */
	readonly findWork: () => SessionWork;
};
