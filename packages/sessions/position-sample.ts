import type {LogPoint} from '@sapphirefall/decisions';
import type {Instant} from './instant.ts';

/**
 * An answer of the primary: all that was acknowledged before `askedAt` is at `position` or before it.
 *
 * Holds only if the host's lease on the primary was valid at `askedAt`.
 */
export type PositionSample = {
	readonly requestedAt: Instant;
	readonly position: LogPoint;
};
