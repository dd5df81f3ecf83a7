import type {createTableCache} from './create-table-cache.ts';
import {findAlignedWait} from './find-aligned-wait.ts';
import {followTable} from './follow-table.ts';
import type {Instant} from './instant.ts';
import {confirmIntervalMs} from './confirm-interval-ms.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly self: string;
	readonly store: Store;
	readonly cache: ReturnType<typeof createTableCache>;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Follows the store's tables while this host is a store reader. */
type StoreFollower = {
	/** Starts following all tables; does nothing if it has already been started. */
	readonly start: () => void;
	readonly stop: () => void;
	/** When following started, in milliseconds of the steady clock; undefined while stopped. */
	readonly followedSince: () => number | undefined;
};

/** Maximum milliseconds that a call to the store waits for changes, by table. */
const maxFollowWaitsMs = {configuration: confirmIntervalMs, fleet: confirmIntervalMs, instances: 8 * confirmIntervalMs} as const satisfies Record<StoreTable, number>;

/** Creates the follower of the store's tables, which writes them to the table cache. */
export function createStoreFollower({
	self, store, cache, now, log,
}: Options): StoreFollower {
	let abort: AbortController | undefined;
	let startedAt: number | undefined;

	return {
		start() {
			if (abort !== undefined) {
				return;
			}

			abort = new AbortController();
			startedAt = now().steady;
			for (const table of Object.keys(maxFollowWaitsMs) as readonly StoreTable[]) {
				void followTable({
					store,
					table,
					reader: self,
					findWait: at => findAlignedWait({intervalMs: confirmIntervalMs, maxWaitMs: maxFollowWaitsMs[table], now: at}),
					now,
					cached: cache.findTable(table),
					onTable(update) {
						cache.updateTable(table, update);
					},
					log,
					signal: abort.signal,
				});
			}
		},
		stop() {
			abort?.abort();
			abort = undefined;
			startedAt = undefined;
		},
		followedSince: () => startedAt,
	};
}
