import type {LogPoint} from './log-point.ts';

/**
 * Proof that a majority of a group was in one term with its primary at one point, no earlier than `since`.
 *
 * Every write acknowledged before `since` is at or before `at`.
 */
export type TermProof = {
	readonly term: number;
	readonly point: LogPoint;
	/** Monotonic milliseconds: when the oldest probe of the proof was sent. */
	readonly since: number;
};
