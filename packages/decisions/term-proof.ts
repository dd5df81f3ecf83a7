import type {LogPoint} from './log-point.ts';

/**
 * Proof that a majority of a group was in one term, with its primary's log at one point, at `since` or later.
 *
 * Every write that was acknowledged before `since` is at or before `point` in the log.
 */
export type TermProof = {
	readonly term: number;
	readonly point: LogPoint;
	/** Monotonic milliseconds: when the oldest probe of the proof was sent. */
	readonly since: number;
};
