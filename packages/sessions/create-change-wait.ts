/* eslint-disable no-await-in-loop -- steps run one after another */
import type {createTableCache} from './create-table-cache.ts';
import {findRenewal} from './find-renewal.ts';
import {isSameMark} from './is-same-mark.ts';
import type {RequestedTable} from './requested-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly cache: Pick<ReturnType<typeof createTableCache>, 'listAges' | 'listTables' | 'waitForUpdate'>;
	/** Milliseconds until the first cached table is stale; 0 or less if one already is. */
	readonly findFreshRemaining: () => number;
	/** Whether the fleet is starting for the first time and the store readers may not have any tables yet. */
	readonly isBootstrapping: () => boolean;
	/** Starts to read the store, unless this host reads it already; returns when it must have recent tables, in milliseconds of the steady clock. */
	readonly startReading: () => number;
	/** Whether this host is stopping, so that the wait ends. */
	readonly isStopped: () => boolean;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/**
 * Waits until there is something new for the host that requested tables or this host stops, at most `wait` milliseconds;
 * reads the store if the cached tables are stale.
 */
type ChangeWait = (requested: ReadonlyMap<StoreTable, RequestedTable>, wait: number) => Promise<void>;

/** Milliseconds for which an answer waits for the other confirmations once one has been renewed, so that one answer carries all of them. */
const batchDelayMs = 40;

/** Creates the wait for changes of the cached tables. */
export function createChangeWait({
	cache, findFreshRemaining, isBootstrapping, startReading, isStopped, now,
}: Options): ChangeWait {
	const hasNewRows = (requested: ReadonlyMap<StoreTable, RequestedTable>) => cache.listTables().some(([table, {mark}]) => !isSameMark(requested.get(table)?.mark, mark));

	return async (requested, wait) => {
		const requestedAt = now();
		let deadline = requestedAt + wait;
		while (!isStopped() && !hasNewRows(requested)) {
			const at = now();
			const renewal = findRenewal({requested, waited: at - requestedAt, ages: cache.listAges()});
			if (renewal === 'all') {
				return;
			}

			if (renewal === 'some') {
				deadline = Math.min(deadline, at + batchDelayMs);
			}

			const freshRemaining = findFreshRemaining();
			const isReading = freshRemaining <= 0 && !isBootstrapping();
			const end = isReading ? Math.min(deadline, startReading()) : deadline;
			if (at >= end) {
				return;
			}

			await cache.waitForUpdate(freshRemaining > 0 ? Math.min(end - at, freshRemaining) : end - at);
		}
	};
}
