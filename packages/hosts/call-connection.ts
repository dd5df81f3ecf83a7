import type {CallLimits} from './call-limits.ts';
import type {CallOutcome} from './call-outcome.ts';

/** A connection to another host that matches answers to calls by call number. */
export type CallConnection<Response> = {
	/**
	 * Sends a call and resolves with its outcome; never rejects for a lost connection.
	 *
	 * @param encode Encodes the call with the given call number.
	 * @param limits Timeout of the call, and whether the connection is kept alive with pings meanwhile.
	 */
	readonly call: (encode: (id: number) => Uint8Array, limits: CallLimits) => Promise<CallOutcome<Response>>;
	/** Whether new calls should use another connection: this one is closed, the other host reads no more calls on it, it has no call numbers left, or left a call unanswered. */
	readonly isDueForReplacement: () => boolean;
	/** Closes the connection once no call is open. */
	readonly drain: () => void;
};
