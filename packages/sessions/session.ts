import type {ClientRequest} from './client-request.ts';

/** A caller's session; it lives as long as its connection. */
export type Session = {
	/** Takes a message; messages are handled one after the other. */
	readonly receive: (request: ClientRequest) => void;
	/** The caller has gone. */
	readonly end: () => void;
	/** Closes the session as soon as it is idle and nothing is under way. */
	readonly stop: () => void;
	/** Closes the session now; an open transaction is rolled back. */
	readonly abort: () => void;
	readonly isIdle: () => boolean;
};
