import type {LogPoint} from '@sapphirefall/decisions';
import type {Instant} from '../instant.ts';

/**
 * How far the log of a group's primary had grown: all commits that any host acknowledged before `requestedAt`, and all that
 * this host acknowledged, are at or before `position`.
 */
export type LogMark = {
	/** Epoch of the primary. */
	readonly epoch: number;
	/** Newest position that the primary has told. */
	readonly position: LogPoint;
	/** When the latest request was sent that the primary answered with its position. */
	readonly requestedAt: Instant;
};
