import type {Instant} from './instant.ts';

/** A reading of the store's steady clock, and a moment here that was not after it. */
export type StoreClock = {
	readonly store: number;
	readonly notAfter: Instant;
};
