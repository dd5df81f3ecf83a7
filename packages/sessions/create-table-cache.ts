import type {ChooseRows} from './choose-rows.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findElapsed} from './find-elapsed.ts';
import {findTableMark} from './find-table-mark.ts';
import type {Instant} from './instant.ts';
import {isSameMark} from './is-same-mark.ts';
import type {CachedTable} from './cached-table.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly chooseRows: ChooseRows;
	readonly onTable: (table: StoreTable, cached: CachedTable) => void;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Cache of the store's tables, with the staleness of each. */
type TableCache = {
	readonly findTable: (table: StoreTable) => CachedTable | undefined;
	/** Milliseconds since the store confirmed each table. */
	readonly listAges: () => ReadonlyMap<StoreTable, number>;
	readonly listTables: () => ReadonlyArray<readonly [StoreTable, CachedTable]>;
	/** Stores a table that was read from the store or received from another host, unless the cached one is newer. */
	readonly updateTable: (table: StoreTable, newer: CachedTable) => void;
	/** Milliseconds until the first table exceeds its staleness limit; 0 or less if one already does or is missing. */
	readonly findFreshRemaining: (limits: Readonly<Record<StoreTable, number>>) => number;
	/** Waits until a table is updated, at most `limit` milliseconds. */
	readonly waitForUpdate: (limit: number) => Promise<void>;
	/** Ends all waits for an update. */
	readonly wakeAll: () => void;
};

/** Creates the cache of the store's tables. */
export function createTableCache({
	chooseRows, onTable, now, log,
}: Options): TableCache {
	const cache = new Map<StoreTable, CachedTable>();
	const waiters = new Set<() => void>();
	/** Tables of which the last update was left out; a line is logged for the first one in a row. */
	const leftOut = new Set<StoreTable>();

	const findAge = (table: StoreTable) => {
		const cached = cache.get(table);
		return cached === undefined ? Number.POSITIVE_INFINITY : findElapsed(cached.confirmedAt, now());
	};

	const wakeAll = () => {
		for (const wake of waiters) {
			wake();
		}
	};

	return {
		findTable: table => cache.get(table),
		listTables: () => [...cache],
		listAges: () => new Map([...cache.keys()].map(table => [table, findAge(table)])),
		updateTable(table, newer) {
			const older = cache.get(table);
			const isNewer = older === undefined || newer.version > older.version
				|| (newer.version === older.version && newer.confirmedAt.steady >= older.confirmedAt.steady);
			if (!isNewer) {
				if (!leftOut.has(table) && newer.version < older.version) {
					leftOut.add(table);
					log.warn({
						table, version: newer.version, knownVersion: older.version, reader: newer.reader,
					}, 'store: The host leaves out an update of the table that is older than what it has.');
				}

				return;
			}

			leftOut.delete(table);
			// Unchanged rows keep their identity, so that they are not decoded again.
			const {era} = decodeStoreVersion(newer.version);
			const rows = isSameMark(older?.mark, newer.mark) && older !== undefined ? older.rows : chooseRows(table, {known: older?.rows, newer: newer.rows, era});
			const mark = rows === newer.rows ? newer.mark : findTableMark(rows);
			const updated = {...newer, rows, mark};
			cache.set(table, updated);
			onTable(table, updated);
			wakeAll();
		},
		wakeAll,
		findFreshRemaining: limits => Math.min(...Object.entries(limits).map(([table, limit]) => limit - findAge(table as StoreTable))),
		waitForUpdate: async limit => new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, limit);
			waiters.add(finish);
		}),
	};
}
