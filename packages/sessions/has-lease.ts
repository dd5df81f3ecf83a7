import type {PrimaryLease} from './primary-lease.ts';

/** Checks whether the host still holds a lease on a primary. */
export function hasLease({group, instance, epoch}: PrimaryLease): boolean {
	const view = group.primary();
	return view.kind === 'leased' && view.epoch === epoch && view.instance === instance;
}
