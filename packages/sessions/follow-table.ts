/* eslint-disable no-await-in-loop -- calls run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findElapsed} from './find-elapsed.ts';
import {findConfirmedAt} from './find-confirmed-at.ts';
import {findTableMark} from './find-table-mark.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreClock} from './store-clock.ts';
import type {StoreRow} from './store-row.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly store: Store;
	readonly table: StoreTable;
	/** Name of this host, recorded as the reader of the table. */
	readonly reader: string;
	/** Returns the milliseconds that a call may wait for changes; `now` is in milliseconds of the steady clock. */
	readonly findWait: (now: number) => number;
	readonly now: () => Instant;
	/** Cached table to continue from; undefined to read the whole table first. */
	readonly cached: CachedTable | undefined;
	readonly onTable: (cached: CachedTable) => void;
	readonly log: SessionLog;
	/** Stops following when aborted. */
	readonly signal: AbortSignal;
};

/**
 * Minimum milliseconds between two calls, by table, so that rows that change in quick succession are fetched together.
 * Rows of instances change frequently, and none of those changes is urgent.
 */
const minCallIntervalsMs = {configuration: 200, fleet: 120, instances: 600} as const satisfies Record<StoreTable, number>;

/** Linear backoff in milliseconds while the store does not answer: the delay after the first failure, and the maximum. */
const retryDelaysMs = {first: 100, last: 400};

/**
 * Follows a table of the store until `signal` is aborted: reads the whole table, then waits for changes.
 *
 * Reads the whole table again after a failed call, or if the store no longer has the history since the last version.
 */
export async function followTable(options: Options): Promise<void> {
	const {
		store, table, reader, findWait, now, onTable, log, signal,
	} = options;
	let {cached} = options;
	let isComplete = cached !== undefined;
	let clock: StoreClock | undefined;
	let failures = 0;
	while (!signal.aborted) {
		const outcome = cached === undefined || !isComplete
			? await store.read(table)
			// Only a short call gives a usable reading of the store's clock. Without one, a long call confirms the rows only as of when it was sent.
			: await store.follow(table, {after: cached.version, wait: clock === undefined ? 0 : findWait(now().steady)});
		if (signal.aborted) {
			return;
		}

		if (outcome.kind !== 'done') {
			failures++;
			logFailure({
				table, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined, failures,
			}, log);
			isComplete = false;
			if (outcome.kind !== 'forgotten') {
				await sleep(Math.min(retryDelaysMs.last, retryDelaysMs.first * failures) * (0.5 + (Math.random() / 2)));
			}

			continue;
		}

		if (failures > 0) {
			log.info({table, failures}, 'store: The host can read the table again.');
			failures = 0;
		}

		const {rows, version} = outcome.value;
		if (cached !== undefined) {
			logNewEra({table, version, previous: cached.version}, log);
		}

		const confirmation = findConfirmedAt(clock, outcome.value);
		({clock} = confirmation);
		const merged = cached !== undefined && isComplete && rows.length === 0 ? cached.rows : applyRows(isComplete ? cached?.rows : undefined, rows);
		cached = {
			rows: merged,
			version,
			mark: merged === cached?.rows ? cached.mark : findTableMark(merged),
			confirmedAt: confirmation.confirmedAt,
			reader,
		};
		isComplete = true;
		onTable(cached);
		await sleep(Math.max(0, minCallIntervalsMs[table] - findElapsed(outcome.value.sentAt, outcome.value.answeredAt)));
	}
}

function logFailure(fields: {readonly table: StoreTable; readonly outcome: string; readonly reason: string | undefined; readonly failures: number}, log: SessionLog): void {
	if (fields.failures === 1) {
		log.warn(fields, 'store: The host cannot read the table and retries.');
	} else {
		log.debug(fields, 'store: The host still cannot read the table.');
	}
}

/** Logs when the store has come back from an older copy since a table was read before. */
function logNewEra({table, version, previous}: {readonly table: StoreTable; readonly version: number; readonly previous: number}, log: SessionLog): void {
	const before = decodeStoreVersion(previous);
	const after = decodeStoreVersion(version);
	if (before.era !== after.era) {
		log.warn({
			table, era: after.era, previousEra: before.era, version: after.counter, previousVersion: before.counter,
		}, 'store: The store came back from an older copy of the table.');
	}
}

function applyRows(cached: ReadonlyMap<string, StoreRow> | undefined, changed: readonly StoreRow[]): ReadonlyMap<string, StoreRow> {
	const rows = new Map(cached);
	for (const row of changed) {
		if (row.value === undefined) {
			rows.delete(row.key);
		} else {
			rows.set(row.key, row);
		}
	}

	return rows;
}
