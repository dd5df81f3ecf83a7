import type {SessionState} from './session-state.ts';

/** What a session is doing at a moment. The names of the properties are the names of the log fields. */
export type SessionWork = {
	readonly session: number;
	readonly state: SessionState;
	/** Id of the statement that is running; empty if there is none. */
	readonly id: string;
	/** Kind of the statement that is running; empty if there is none. */
	readonly kind: string;
	/** Milliseconds since that statement began; 0 if there is none. */
	readonly elapsed: number;
	/** Messages that were received and wait. */
	readonly queued: number;
};
