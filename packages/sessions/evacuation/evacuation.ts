import type {Instant} from '../instant.ts';

/** An evacuation of an availability zone that operators have requested and not taken back, as this host knows it. */
export type Evacuation = {
	/** Moment before which the store cannot have acknowledged the request; undefined if this host knows no such moment. */
	readonly earliestAt: Instant | undefined;
};
