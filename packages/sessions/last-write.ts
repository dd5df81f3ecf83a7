import type {LogPoint} from '@sapphirefall/decisions';

/** The last write of a session, which its later reads must see. */
export type LastWrite = {
	/** Epoch of the primary that acknowledged it. */
	readonly epoch: number;
	readonly position: LogPoint;
};
