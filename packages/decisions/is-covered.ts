import type {LogPoint} from './log-point.ts';

/**
 * Returns whether a log that ends at `end` contains the acknowledged entry at `point`.
 *
 * Every later primary has an acknowledged entry in its log, and a log equals that of the primary that wrote its
 * last entry. It therefore suffices that neither term nor position of the last entry is lower than that of `point`.
 *
 * @param point Log point of an acknowledged entry.
 * @param end Log point of the log's last entry.
 * @example
 * isCovered({term: 2, position: 7n}, {term: 3, position: 7n}); // true
 */
export function isCovered(point: LogPoint, end: LogPoint): boolean {
	return end.term >= point.term && end.position >= point.position;
}
