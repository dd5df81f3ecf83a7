import type {JobSpans} from './job-spans.ts';

/** Measures the phases of a job while it runs. */
type JobTimer = {
	/** Records that a connection was acquired, and how many milliseconds were spent on opening it. */
	readonly recordAcquired: (openMs: number) => void;
	/** Records that the session's variables are set on the connection, and that the work is being sent. */
	readonly recordSent: () => void;
	/** Returns the phases once the answer has come; `way` is 0, as only the sending host can measure it. */
	readonly finish: () => JobSpans;
};

/**
 * Creates the timer of a job that starts now.
 *
 * @param now Returns the current time of the steady clock in milliseconds.
 */
export function createJobTimer(now: () => number): JobTimer {
	const startedAt = now();
	let acquiredAt = startedAt;
	let openMs = 0;
	let sentAt: number | undefined;

	return {
		recordAcquired(spentMs) {
			acquiredAt = now();
			openMs = spentMs;
		},
		recordSent() {
			sentAt = now();
		},
		finish() {
			const answeredAt = now();
			const workSentAt = sentAt ?? answeredAt;
			return {
				way: 0,
				queue: Math.max(0, acquiredAt - startedAt - openMs),
				open: openMs,
				setup: workSentAt - acquiredAt,
				instance: answeredAt - workSentAt,
			};
		},
	};
}
