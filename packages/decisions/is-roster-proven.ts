import {findProvenAt} from './find-proven-at.ts';
import type {HostState} from './host-state.ts';

/**
 * Tells whether the roster was proven to be the newest within a time, so that this host may lend and use units.
 *
 * @param state The state of the host.
 * @param options Greatest age of the proof in milliseconds, and monotonic milliseconds.
 */
export function isRosterProven(
	state: HostState,
	options: {readonly proofLimit: number; readonly now: number},
): boolean {
	return options.now - findProvenAt(state) <= options.proofLimit;
}
