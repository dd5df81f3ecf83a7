import type {LogPoint} from '@sapphirefall/decisions';

/** How far the log of a group's primary was, as another host knows it. */
export type PrimaryPosition = {
	readonly group: string;
	readonly epoch: number;
	readonly position: LogPoint;
	/** Milliseconds since the primary was asked. */
	readonly age: number;
};
