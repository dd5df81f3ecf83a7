import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';

type Options = {
	/** Rank of this host among the candidates for the lease; 0 is the first. */
	readonly rank: number;
	/** Whether a host holds the lease, or held it in an earlier era of the store, or none ever did. */
	readonly holder: 'present' | 'earlierEra' | 'none';
	/** Since when nobody holds the lease or its holder has left claims unanswered, in milliseconds of the steady clock. */
	readonly since: number | undefined;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds without an answer from the rate allocator after which another host takes its lease; shares outlast it, so hosts keep what they hold. */
const allocatorTimeoutMs = 500;

/** Milliseconds that each candidate waits longer than the one ranked before it, so that they rarely compete for the lease. */
const rankDelayMs = 120;

/** Rank from which on all candidates wait equally long. */
const maxRank = 4;

/** Whether this host, by its rank, is due to take the lease of a rate allocator that is vacant or whose holder does not answer. */
export function isAllocatorLeaseDue({rank, holder, since, now}: Options): boolean {
	if (since === undefined) {
		return false;
	}

	const steps = Math.min(maxRank, rank);
	const delays = {
		present: allocatorTimeoutMs + (steps * rankDelayMs),
		earlierEra: steps * rankDelayMs,
		none: steps * bootstrapStaggerMs,
	};
	return now - since > delays[holder];
}
