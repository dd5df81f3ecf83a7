import type {MemoryLimits} from './memory-limits.ts';

/** Shares of the memory beside the program. What they leave is for the caches and the copies of statements that run. */
const shares = {
	values: 0.1, input: 0.15, answers: 0.15, statements: 0.1, frames: 0.1,
};

/** Bytes that the program takes before it serves anyone. */
const programBytes = 90e6;

/** Smallest bytes for large statements and for messages of other hosts, so that one of each is always served. */
const minBytes = 8 * 1024 * 1024;

/** Finds the limits of a host's buffers from the largest sizes of its heap and of its process in bytes. */
export function findMemoryLimits(heapBytes: number, machineBytes = Number.POSITIVE_INFINITY): MemoryLimits {
	const bytes = Math.max(minBytes, Math.min(heapBytes, machineBytes - programBytes));
	return {
		valueBytes: Math.floor(bytes * shares.values),
		inputBytes: Math.floor(bytes * shares.input),
		answerBytes: Math.floor(bytes * shares.answers),
		statementBytes: Math.max(minBytes, Math.floor(bytes * shares.statements)),
		frameBytes: Math.max(minBytes, Math.floor(bytes * shares.frames)),
	};
}
