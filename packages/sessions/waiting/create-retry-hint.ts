import type {RetryHint} from './retry-hint.ts';

/** Milliseconds after which a caller may come back if no host knows when there is room. */
const usualRetryMs = 100;

/** Creates a hint for the attempts of an operation. */
export function createRetryHint(): RetryHint {
	let smallest: number | undefined;

	return {
		record(answer) {
			const retryAfterMs = answer.kind === 'notSent' ? answer.retryAfterMs : undefined;
			if (retryAfterMs === undefined) {
				return false;
			}

			smallest = Math.min(smallest ?? retryAfterMs, retryAfterMs);
			return true;
		},
		find: () => smallest ?? usualRetryMs,
	};
}
