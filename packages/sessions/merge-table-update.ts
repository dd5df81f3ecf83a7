import type {Instant} from './instant.ts';
import {findTableMark} from './find-table-mark.ts';
import {isSameMark} from './is-same-mark.ts';
import type {CachedTable} from './cached-table.ts';
import type {TableUpdate} from './table-update.ts';
import type {StoreRow} from './store-row.ts';

type Options = {
	readonly older: CachedTable | undefined;
	/** When the other host had waited and answered, at the earliest. */
	readonly answeredAfter: Instant;
};

/**
 * Merges a table as another host tells it with what is known of it here.
 *
 * @returns Undefined when the rows that were told do not make up the other host's state: it has dropped some, and must
 * be asked for all.
 */
export function mergeTableUpdate(told: TableUpdate, {older, answeredAfter}: Options): CachedTable | undefined {
	const rows = mergeRows(told, older);
	const mark = rows === older?.rows ? older.mark : findTableMark(rows);
	if (!isSameMark(mark, told.mark)) {
		return undefined;
	}

	return {
		rows,
		mark,
		version: told.version,
		confirmedAt: {steady: answeredAfter.steady - told.age, wall: answeredAfter.wall - told.age},
		reader: told.reader,
	};
}

function mergeRows({rows, isWhole}: TableUpdate, older: CachedTable | undefined): ReadonlyMap<string, StoreRow> {
	if (rows.length === 0 && !isWhole && older !== undefined) {
		return older.rows;
	}

	const merged = new Map(isWhole ? undefined : older?.rows);
	for (const row of rows) {
		merged.set(row.key, row);
	}

	return merged;
}
