import type {LogPoint} from '@sapphirefall/decisions';
import type {InstanceRuntime} from './instance-runtime.ts';

/** Where a statement goes: an instance, and the position that its log must hold unless it is the leased primary. */
export type Target = {
	readonly instance: InstanceRuntime;
	readonly after: LogPoint | undefined;
	/** Epoch of the lease, when the statement relies on it. */
	readonly epoch: number | undefined;
};
