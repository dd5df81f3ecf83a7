import type {AskedTable} from './asked-table.ts';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import type {TableUpdate} from './table-update.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly known: CachedTable;
	readonly asked: AskedTable | undefined;
	readonly now: Instant;
};

/** Creates what another host is told of a table: the rows that are newer than all it knows, or all. */
export function createTableUpdate(table: StoreTable, {known, asked, now}: Options): TableUpdate {
	const newest = asked?.mark?.newest ?? -1;
	const {rows, version, mark, confirmedAt: provenAt, reader} = known;
	return {
		table,
		version,
		mark,
		age: findElapsed(provenAt, now),
		reader,
		isWhole: asked?.mark === undefined,
		rows: [...rows.values()].filter(row => row.version > newest),
	};
}
