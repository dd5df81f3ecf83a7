import type {LogPoint} from '@sapphirefall/decisions';

/** The last acknowledged write of a session to a group, which its later reads from the group must see (read your writes). */
export type LastWrite = {
	/** Epoch of the primary that acknowledged the write. */
	readonly epoch: number;
	readonly position: LogPoint;
};
