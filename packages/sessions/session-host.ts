import type {createSession} from './create-session.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {Session} from './session.ts';

/** A host that serves sessions. */
export type SessionHost = {
	/** Opens the session of a caller that has connected. */
	readonly openSession: (connection: Pick<Parameters<typeof createSession>[0], 'send' | 'close'>) => Session;
	/** Whether callers should be sent here. */
	readonly isReady: () => boolean;
	/** What other hosts may ask. */
	readonly peer: FleetPeer;
	/**
	 * Takes no new work, and resolves when no session is left or their time is over.
	 *
	 * `closeDoor` is called when callers have been sent elsewhere, so that no connection is taken any more.
	 */
	readonly stop: (closeDoor: () => void) => Promise<void>;
};
