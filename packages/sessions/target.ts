import type {LogPoint} from '@sapphirefall/decisions';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {PrimaryLease} from './primary-lease.ts';

/** The instance that a statement is sent to. */
export type Target = {
	readonly instance: InstanceRuntime;
	/** Position that the log must have reached: for the leased primary, the newest one that it is known to have had. */
	readonly after: LogPoint | undefined;
	/** Lease on the primary; undefined for a replica, which needs no lease. */
	readonly lease: PrimaryLease | undefined;
};
