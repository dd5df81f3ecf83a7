import type {PrimaryLease} from './primary-lease.ts';

/** Describes the lease that a statement relied on, for its trace; empty for a statement at a replica. */
export function describeLease(lease: PrimaryLease | undefined): string {
	return lease === undefined ? '' : `, epoch ${lease.epoch}`;
}
