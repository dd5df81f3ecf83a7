import {findConfirmedAt} from './find-confirmed-at.ts';
import type {HostState} from './host-state.ts';

/**
 * Returns whether the roster was recently confirmed to be the newest, so that this host may lend and use units.
 *
 * @param state The state of the host.
 * @param options Maximum age of the confirmation in milliseconds, and monotonic milliseconds.
 */
export function isRosterConfirmed(
	state: HostState,
	options: {readonly maxAgeMs: number; readonly now: number},
): boolean {
	return options.now - findConfirmedAt(state) <= options.maxAgeMs;
}
