import type {LogPoint} from '@sapphirefall/decisions';

/** What an instance says of itself. */
export type InstanceStatus = {
	readonly role: 'primary' | 'replica';
	/** Newest term that it knows. */
	readonly term: number;
	/** End of what it has received. */
	readonly received: LogPoint;
};
