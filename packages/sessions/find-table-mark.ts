import type {StoreRow} from './store-row.ts';
import type {TableMark} from './table-mark.ts';

/** Finds the mark that identifies a table's rows; see `TableMark`. */
export function findTableMark(rows: ReadonlyMap<string, StoreRow>): TableMark {
	let newest = 0;
	for (const {version} of rows.values()) {
		newest = Math.max(newest, version);
	}

	return {newest, count: rows.size};
}
