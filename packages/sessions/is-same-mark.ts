import type {TableMark} from './table-mark.ts';

/** Whether two marks identify the same rows; false if either is undefined. */
export function isSameMark(a: TableMark | undefined, b: TableMark | undefined): boolean {
	return a !== undefined && a.newest === b?.newest && a.count === b.count;
}
