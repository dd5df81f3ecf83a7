import type {LogPoint} from './log-point.ts';

/**
 * Compares log points by term, then by position, the order by which a promotion chooses the most up-to-date log.
 *
 * @returns A negative number if `a` is behind `b`, 0 if they are equal, a positive number otherwise.
 */
export function comparePoints(a: LogPoint, b: LogPoint): number {
	if (a.term !== b.term) {
		return a.term - b.term;
	}

	return Number(a.position - b.position);
}
