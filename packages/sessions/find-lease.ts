import type {PrimaryLease} from './primary-lease.ts';
import type {SessionGroup} from './session-group.ts';

/** Finds the lease that the host holds on an instance now; undefined if the instance is not the leased primary. */
export function findLease(group: SessionGroup, instance: string): PrimaryLease | undefined {
	const view = group.primary();
	return view.kind === 'leased' && view.instance === instance ? {group, instance, epoch: view.epoch} : undefined;
}
