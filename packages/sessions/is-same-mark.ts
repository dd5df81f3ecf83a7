import type {TableMark} from './table-mark.ts';

/** Whether two marks are of states that hold the same rows. */
export function isSameMark(a: TableMark | undefined, b: TableMark | undefined): boolean {
	return a !== undefined && a.newest === b?.newest && a.count === b.count;
}
