import type {createTableKnowledge} from './create-table-knowledge.ts';
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
	readonly knowledge: ReturnType<typeof createTableKnowledge>;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** What follows the store's tables while this host is to read them. */
type StoreFollower = {
	/** Begins to follow all tables, unless that is done already. */
	readonly start: () => void;
	readonly stop: () => void;
	/** Since when the tables are followed, in steady milliseconds; undefined when they are not. */
	readonly since: () => number | undefined;
};

/** Milliseconds that calls which follow the tables may wait for changes. */
const followWaits = {configuration: confirmIntervalMs, fleet: confirmIntervalMs, instances: 4 * confirmIntervalMs} as const satisfies Record<StoreTable, number>;

/** Creates what follows the store's tables. */
export function createStoreFollower({
	self, store, knowledge, now, log,
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
			for (const table of Object.keys(followWaits) as readonly StoreTable[]) {
				void followTable({
					store,
					table,
					reader: self,
					findWait: at => findAlignedWait({intervalMs: confirmIntervalMs, maxWaitMs: followWaits[table], now: at}),
					now,
					known: knowledge.findTable(table),
					onTable(newer) {
						knowledge.take(table, newer);
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
		since: () => startedAt,
	};
}
