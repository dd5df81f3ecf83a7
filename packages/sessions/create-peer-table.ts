import type {AskedTable} from './asked-table.ts';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {PeerTable} from './peer-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly known: KnownTable;
	readonly asked: AskedTable | undefined;
	readonly now: Instant;
};

/** Creates what another host is told of a table: the rows that are newer than all it knows, or all. */
export function createPeerTable(table: StoreTable, {known, asked, now}: Options): PeerTable {
	const newest = asked?.mark?.newest ?? -1;
	const {rows, version, mark, provenAt, reader} = known;
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
