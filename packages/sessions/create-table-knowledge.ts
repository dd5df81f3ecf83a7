import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import {isSameMark} from './is-same-mark.ts';
import type {KnownTable} from './known-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly onTable: (table: StoreTable, known: KnownTable) => void;
	readonly now: () => Instant;
};

/** What a host knows of the store's tables, and how old that is. */
type TableKnowledge = {
	readonly findTable: (table: StoreTable) => KnownTable | undefined;
	/** Milliseconds since the store confirmed each table. */
	readonly listAges: () => ReadonlyMap<StoreTable, number>;
	readonly list: () => ReadonlyArray<readonly [StoreTable, KnownTable]>;
	/** Takes a table as it was read or told, unless something newer is known. */
	readonly take: (table: StoreTable, newer: KnownTable) => void;
	/** Milliseconds until the proof of some table is older than its limit; not positive when one is, or is missing. */
	readonly findFreshLeft: (limits: Readonly<Record<StoreTable, number>>) => number;
	/** Waits until a table is taken, at the most for some milliseconds. */
	readonly waitForNews: (limit: number) => Promise<void>;
};

/** Creates what a host knows of the store's tables. */
export function createTableKnowledge({onTable, now}: Options): TableKnowledge {
	const known = new Map<StoreTable, KnownTable>();
	const waiters = new Set<() => void>();

	const findAge = (table: StoreTable) => {
		const state = known.get(table);
		return state === undefined ? Number.POSITIVE_INFINITY : findElapsed(state.provenAt, now());
	};

	return {
		findTable: table => known.get(table),
		list: () => [...known],
		listAges: () => new Map([...known.keys()].map(table => [table, findAge(table)])),
		take(table, newer) {
			const older = known.get(table);
			const isNewer = older === undefined || newer.version > older.version
				|| (newer.version === older.version && newer.provenAt.steady >= older.provenAt.steady);
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
		findFreshLeft: limits => Math.min(...Object.entries(limits).map(([table, limit]) => limit - findAge(table as StoreTable))),
		waitForNews: async limit => new Promise<void>(resolve => {
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
