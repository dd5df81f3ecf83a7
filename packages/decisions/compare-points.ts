import type {LogPoint} from './log-point.ts';

/**
 * Orders log ends by term, then by position, as a promotion must.
 *
 * @returns A negative number when `a` is behind `b`, 0 when equal, a positive number otherwise.
 */
export function comparePoints(a: LogPoint, b: LogPoint): number {
	if (a.term !== b.term) {
		return a.term - b.term;
	}

	return Number(a.position - b.position);
}
