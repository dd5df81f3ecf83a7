import type {RequestedTable} from './requested-table.ts';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import type {TableUpdate} from './table-update.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly cached: CachedTable;
	readonly requested: RequestedTable | undefined;
	readonly now: Instant;
};

/** Creates the update of a table for another host: the rows newer than those it has, or all rows if it has no mark. */
export function createTableUpdate(table: StoreTable, {cached, requested, now}: Options): TableUpdate {
	const newest = requested?.mark?.newest ?? -1;
	const {rows, version, mark, confirmedAt, reader} = cached;
	return {
		table,
		version,
		mark,
		age: findElapsed(confirmedAt, now),
		reader,
		isWhole: requested?.mark === undefined,
		rows: [...rows.values()].filter(row => row.version > newest),
	};
}
