type Options = {
	/** Bytes of memory that the process may take. */
	readonly limitBytes: number;
	/** Returns the bytes of memory that the process takes now. */
	readonly readUsedBytes: () => number;
	/** Frees memory that is not in use any more. */
	readonly collect: () => void;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Frees the memory of messages that are done with before the process takes too much. */
type MemoryRelief = {
	/** Records bytes that were read or written. */
	readonly record: (bytes: number) => void;
};

/** Bytes that pass between two looks at the memory of the process. */
const checkIntervalBytes = 2 * 1024 * 1024;

/** Share of the limit above which memory is freed. */
const usedShare = 0.6;

/** Share of the limit above which memory is freed however little it has grown. */
const urgentShare = 0.8;

/** Share of the time that freeing memory may take while it has hardly grown, as the process does nothing else meanwhile. */
const urgentTimeShare = 0.05;

/** Share of the limit by which the memory has to grow before it is freed again, as it may all be in use. */
const growthShare = 0.05;

/**
 * Creates the decision when memory is freed that is not in use any more.
 *
 * The garbage collector of Node.js waits until far more memory is garbage than a small machine has, since most of what
 * passes through a host lies outside of the heap that it watches.
 */
export function createMemoryRelief({
	limitBytes, readUsedBytes, collect, now,
}: Options): MemoryRelief {
	let passedBytes = 0;
	/** Least memory that the process has taken since it was last freed. */
	let leastBytes = 0;
	/** When memory may be freed again that has hardly grown, in milliseconds of the steady clock. */
	let restsUntil = Number.NEGATIVE_INFINITY;

	const free = () => {
		const startedAt = now();
		collect();
		const endedAt = now();
		restsUntil = endedAt + ((endedAt - startedAt) / urgentTimeShare);
		leastBytes = readUsedBytes();
	};

	return {
		record(bytes) {
			passedBytes += bytes;
			if (passedBytes < checkIntervalBytes) {
				return;
			}

			passedBytes = 0;
			const usedBytes = readUsedBytes();
			leastBytes = Math.min(leastBytes, usedBytes);
			const dueBytes = Math.max(usedShare * limitBytes, leastBytes + (growthShare * limitBytes));
			const isUrgent = usedBytes > urgentShare * limitBytes && now() >= restsUntil;
			if (isUrgent || usedBytes > dueBytes) {
				free();
			}
		},
	};
}
