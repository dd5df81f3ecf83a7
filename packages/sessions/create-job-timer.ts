import type {JobSpans} from './job-spans.ts';

/** Measures the parts of a job while it runs. */
type JobTimer = {
	/** Says that a connection was had, and how many milliseconds of the wait went into opening it. */
	readonly noteAcquired: (openSpan: number) => void;
	/** Says that the connection has the session's values, and the work goes out. */
	readonly noteSent: () => void;
	/** The parts, as the answer has come. */
	readonly finish: () => JobSpans;
};

/**
 * Creates the clock of a job that begins.
 *
 * @param now Present steady milliseconds.
 */
export function createJobTimer(now: () => number): JobTimer {
	const startedAt = now();
	let acquiredAt = startedAt;
	let openSpan = 0;
	let sentAt: number | undefined;

	return {
		noteAcquired(span) {
			acquiredAt = now();
			openSpan = span;
		},
		noteSent() {
			sentAt = now();
		},
		finish() {
			const answeredAt = now();
			const wentOutAt = sentAt ?? answeredAt;
			return {
				way: 0,
				queue: Math.max(0, acquiredAt - startedAt - openSpan),
				open: openSpan,
				setup: wentOutAt - acquiredAt,
				instance: answeredAt - wentOutAt,
			};
		},
	};
}
