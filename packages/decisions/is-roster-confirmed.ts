import {findConfirmedAt} from './find-confirmed-at.ts';
import type {HostState} from './host-state.ts';

/**
 * Tells whether the roster was proven to be the newest within a time, so that this host may lend and use units.
 *
 * @param state The state of the host.
 * @param options Greatest age of the proof in milliseconds, and monotonic milliseconds.
 */
export function isRosterConfirmed(
	state: HostState,
	options: {readonly maxAgeMs: number; readonly now: number},
): boolean {
	return options.now - findConfirmedAt(state) <= options.maxAgeMs;
}
