import type {Instant} from './instant.ts';
import {findTableMark} from './find-table-mark.ts';
import {isSameMark} from './is-same-mark.ts';
import type {CachedTable} from './cached-table.ts';
import type {TableUpdate} from './table-update.ts';
import type {StoreRow} from './store-row.ts';

type Options = {
	readonly cached: CachedTable | undefined;
	/** Earliest moment at which the other host can have answered. */
	readonly earliestAnswerAt: Instant;
};

/**
 * Merges another host's update of a table into the cached rows.
 *
 * The age in the update counts from the other host's answer. This host does not know that moment and counts from the
 * earliest possible one, so that the rows never look newer than they are.
 *
 * @returns Undefined if the merged rows do not match the other host's mark. Rows were deleted in that case, and the
 * caller must request all rows.
 */
export function mergeTableUpdate(update: TableUpdate, {cached, earliestAnswerAt}: Options): CachedTable | undefined {
	const rows = mergeRows(update, cached);
	const mark = rows === cached?.rows ? cached.mark : findTableMark(rows);
	if (!isSameMark(mark, update.mark)) {
		return undefined;
	}

	return {
		rows,
		mark,
		version: update.version,
		confirmedAt: {steady: earliestAnswerAt.steady - update.age, wall: earliestAnswerAt.wall - update.age},
		reader: update.reader,
	};
}

function mergeRows({rows, isWhole}: TableUpdate, cached: CachedTable | undefined): ReadonlyMap<string, StoreRow> {
	if (rows.length === 0 && !isWhole && cached !== undefined) {
		return cached.rows;
	}

	const merged = new Map(isWhole ? undefined : cached?.rows);
	for (const row of rows) {
		merged.set(row.key, row);
	}

	return merged;
}
