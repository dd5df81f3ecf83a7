import {confirmIntervalMs} from './confirm-interval-ms.ts';

type Options = {
	/** Milliseconds since the primary was last known to be asked for its position. */
	readonly age: number;
	/** Whether this host reads the store, and tells others the positions with what it read. */
	readonly isReading: boolean;
	/** Whether callers lately wanted to read at replicas. */
	readonly isWanted: boolean;
	/** Steady milliseconds. */
	readonly now: number;
};

/** Milliseconds between two samples at the most, for a host that tells others. */
const readingInterval = 500;

/** Part of a period after which a sample is just in time to be told with the next proof, and its least age then. */
const lastPart = 0.8;
const leastAge = 250;

/** Milliseconds without a sample after which a host that is told them asks itself; a little less than reads may be old. */
const toldInterval = 1300;

/** Whether the primary is to be asked for its position now. */
export function isSampleDue({age, isReading, isWanted, now}: Options): boolean {
	if (!isReading) {
		return isWanted && age >= toldInterval;
	}

	const isAboutToTell = now % confirmIntervalMs >= lastPart * confirmIntervalMs;
	return age >= readingInterval || (isAboutToTell && age >= leastAge);
}
