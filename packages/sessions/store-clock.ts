import type {Instant} from './instant.ts';

/** A reading of the store's steady clock, paired with a local moment that is not after the reading. */
export type StoreClock = {
	/** Milliseconds of the store's steady clock. */
	readonly store: number;
	readonly notAfter: Instant;
};
