import type {LogPoint} from './log-point.ts';

/**
 * Tells whether a log that ends at `end` holds the acknowledged entry `point`.
 *
 * An acknowledged entry is in the log of every later primary, and a log equals that of the primary which
 * wrote its last entry. So a last entry of the same or a later term at the same or a later position suffices.
 *
 * @param point An acknowledged entry.
 * @param end Last entry of the log in question.
 * @example
 * isCovered({term: 2, position: 7n}, {term: 3, position: 7n}); // true
 */
export function isCovered(point: LogPoint, end: LogPoint): boolean {
	return end.term >= point.term && end.position >= point.position;
}
