import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import {isSameMark} from './is-same-mark.ts';
import type {CachedTable} from './cached-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly onTable: (table: StoreTable, known: CachedTable) => void;
	readonly now: () => Instant;
};

/** What a host knows of the store's tables, and how old that is. */
type TableCache = {
	readonly findTable: (table: StoreTable) => CachedTable | undefined;
	/** Milliseconds since the store confirmed each table. */
	readonly listAges: () => ReadonlyMap<StoreTable, number>;
	readonly listTables: () => ReadonlyArray<readonly [StoreTable, CachedTable]>;
	/** Takes a table as it was read or told, unless something newer is known. */
	readonly updateTable: (table: StoreTable, newer: CachedTable) => void;
	/** Milliseconds until the proof of some table is older than its limit; not positive when one is, or is missing. */
	readonly findFreshRemaining: (limits: Readonly<Record<StoreTable, number>>) => number;
	/** Waits until a table is taken, at the most for some milliseconds. */
	readonly waitForUpdate: (limit: number) => Promise<void>;
};

/** Creates what a host knows of the store's tables. */
export function createTableCache({onTable, now}: Options): TableCache {
	const known = new Map<StoreTable, CachedTable>();
	const waiters = new Set<() => void>();

	const findAge = (table: StoreTable) => {
		const state = known.get(table);
		return state === undefined ? Number.POSITIVE_INFINITY : findElapsed(state.confirmedAt, now());
	};

	return {
		findTable: table => known.get(table),
		listTables: () => [...known],
		listAges: () => new Map([...known.keys()].map(table => [table, findAge(table)])),
		updateTable(table, newer) {
			const older = known.get(table);
			const isNewer = older === undefined || newer.version > older.version
				|| (newer.version === older.version && newer.confirmedAt.steady >= older.confirmedAt.steady);
			if (!isNewer) {
				return;
			}

			// Rows that are the same stay the same object, so that nobody decodes them again.
			const rows = isSameMark(older?.mark, newer.mark) && older !== undefined ? older.rows : newer.rows;
			const taken = {...newer, rows};
			known.set(table, taken);
			onTable(table, taken);
			for (const wake of waiters) {
				wake();
			}
		},
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
