import type {SessionGroup} from './session-group.ts';

/** Checks whether the host holds a lease on the primary of an epoch. */
export function hasLease(group: SessionGroup, epoch: number): boolean {
	const view = group.primary();
	return view.kind === 'leased' && view.epoch === epoch;
}
