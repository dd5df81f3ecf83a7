import type {CallLimits} from './call-limits.ts';
import type {CallOutcome} from './call-outcome.ts';

/** A connection to another host on which calls are matched with their answers by number. */
export type CallConnection<Response> = {
	/**
	 * Makes a call.
	 *
	 * @param encode Encodes the call under its number.
	 * @param limits Milliseconds within which the answer must come, and whether the host must show life meanwhile.
	 */
	readonly call: (encode: (id: number) => Uint8Array, limits: CallLimits) => Promise<CallOutcome<Response>>;
	/** Whether new calls should use another connection: this one is closed, used up, or has not answered a call in time. */
	readonly isDoubtful: () => boolean;
	/** Closes the connection once no call waits any more. */
	readonly retire: () => void;
};
