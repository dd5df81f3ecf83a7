import type {ClientAnswer} from './client-answer.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {InstancePace} from './pace/instance-pace.ts';
import type {Session} from './session.ts';

/** Connection of a caller. */
type CallerConnection = {
	readonly send: (answer: ClientAnswer) => void;
	/** Closes the connection after all sent messages; resolves once they have left this process. */
	readonly close: () => Promise<void>;
	/** Gives the session the next message that was read, if there is one. */
	readonly readMore: () => void;
	/** Resolves when the caller has taken its answers, or is gone; undefined if few answers wait to be taken. */
	readonly waitForReader: () => Promise<void> | undefined;
};

/** A host that serves sessions. */
export type SessionHost = {
	/** Opens a session for a caller that has connected. */
	readonly openSession: (connection: CallerConnection) => Session;
	/** Whether the host accepts callers; the readiness check reports it. */
	readonly isReady: () => boolean;
	/** Lists the paces of the instances at which this host has had statements in progress. */
	readonly listPaces: () => readonly InstancePace[];
	/** Calls that other hosts may make to this host. */
	readonly peer: FleetPeer;
	/**
	 * Stops the host as planned, in the phases of `StopPhase`; resolves when all work is over or answered and the host has
	 * left the fleet, or its time is over. Further calls wait for the first one.
	 *
	 * `stopAccepting` is called once new callers have been directed to other hosts, and makes the listener refuse
	 * connections; it may be called again.
	 */
	readonly stop: (stopAccepting: () => void) => Promise<void>;
	/**
	 * Answers at once whatever runs or waits with what is known of it, and closes all sessions, because the process has to
	 * end; resolves when the answers have had time to arrive.
	 */
	readonly end: () => Promise<void>;
};
