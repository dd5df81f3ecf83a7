import type {LogPoint} from '@sapphirefall/decisions';

/** Position of the log of a group's primary, as hosts report it to each other. */
export type PrimaryPosition = {
	readonly group: string;
	readonly epoch: number;
	readonly position: LogPoint;
	/** Milliseconds since the primary was asked for its position. */
	readonly age: number;
};
