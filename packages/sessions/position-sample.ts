import type {LogPoint} from '@sapphirefall/decisions';
import type {Instant} from './instant.ts';

/**
 * A position in the log of the primary: all writes acknowledged before `requestedAt` are at or before `position`.
 *
 * This holds only if the host's lease on the primary was valid at `requestedAt`.
 */
export type PositionSample = {
	/** When the host sent the request that the primary answered with the position. */
	readonly requestedAt: Instant;
	readonly position: LogPoint;
	/** Epoch of the primary that answered. */
	readonly epoch: number;
};
