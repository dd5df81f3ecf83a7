import type {createTableCache} from './create-table-cache.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {Instant} from './instant.ts';
import {mergeTableUpdate} from './merge-table-update.ts';
import type {PrimaryPosition} from './primary-position.ts';
import type {RequestedTable} from './requested-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly cache: Pick<ReturnType<typeof createTableCache>, 'findTable' | 'listAges' | 'listTables' | 'updateTable'>;
	readonly findPeer: (host: string) => Pick<FleetPeer, 'readTables'> | undefined;
	/** Milliseconds until the first cached table is stale; 0 or less if one already is. */
	readonly findFreshRemaining: () => number;
	/** Maximum staleness in milliseconds, by table, of the tables of a source that is recent enough. */
	readonly maxAgesMs: Readonly<Record<StoreTable, number>>;
	/** Called with the log positions that another host knows; their ages count from `from`. */
	readonly onPositions: (positions: readonly PrimaryPosition[], from: Instant) => void;
	readonly now: () => Instant;
};

/** Requests the tables from another host and caches them; resolves to false if it does not answer or its tables are too stale. */
type TablePoll = (source: string) => Promise<boolean>;

/** Minimum and maximum milliseconds for which a source may wait for changes before it answers. */
const pollWaitsMs = {min: 150, max: 700};

/** Creates the requests of a host for the tables of another one. */
export function createTablePoll({
	self, cache, findPeer, findFreshRemaining, maxAgesMs, onPositions, now,
}: Options): TablePoll {
	/** Tables to request with all rows, because rows were deleted. */
	const incompleteTables = new Set<StoreTable>();

	const listRequested = (): ReadonlyMap<StoreTable, RequestedTable> => {
		const ages = cache.listAges();
		return new Map(cache.listTables().map(([table, {mark}]) => [table, {mark: incompleteTables.has(table) ? undefined : mark, age: ages.get(table) ?? 0}]));
	};

	return async source => {
		const sentAt = now();
		const wait = Math.max(pollWaitsMs.min, Math.min(pollWaitsMs.max, findFreshRemaining()));
		const answer = await findPeer(source)?.readTables(listRequested(), wait);
		if (answer === undefined) {
			return false;
		}

		// The other host received the request no earlier than `sentAt` and then waited for `waitedMs` milliseconds before it answered.
		const earliestAnswerAt = {steady: sentAt.steady + answer.waitedMs, wall: sentAt.wall + answer.waitedMs};
		for (const update of answer.tables) {
			const cached = cache.findTable(update.table);
			if (cached !== undefined && update.version < cached.version) {
				continue;
			}

			const merged = mergeTableUpdate(update, {cached, earliestAnswerAt});
			if (merged === undefined) {
				incompleteTables.add(update.table);
			} else {
				incompleteTables.delete(update.table);
				cache.updateTable(update.table, merged);
			}
		}

		onPositions(answer.positions, earliestAnswerAt);
		// Rows that this host itself read from the store are no evidence that the source is up to date.
		const isRecent = (table: string, limit: number) => answer.tables.some(update => update.table === table && update.reader !== self && update.age <= limit);
		return Object.entries(maxAgesMs).every(([table, limit]) => isRecent(table, limit));
	};
}
