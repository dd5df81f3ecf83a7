import type {LogPoint} from '@sapphirefall/decisions';

/** Status that an instance reports. */
export type InstanceStatus = {
	readonly role: 'primary' | 'replica';
	/** Newest term that the instance knows. */
	readonly term: number;
	/** End of the log that the instance has received. */
	readonly received: LogPoint;
};
