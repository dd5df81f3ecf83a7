/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {findElapsed} from './find-elapsed.ts';
import {findConfirmedAt} from './find-confirmed-at.ts';
import {findTableMark} from './find-table-mark.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreClock} from './store-clock.ts';
import type {StoreRow} from './store-row.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly store: Store;
	readonly table: StoreTable;
	/** Name of this host. */
	readonly reader: string;
	/** Milliseconds that a call may wait for changes, given the present steady milliseconds. */
	readonly findWait: (now: number) => number;
	readonly now: () => Instant;
	/** What is known already, to go on from. */
	readonly known: KnownTable | undefined;
	readonly onTable: (known: KnownTable) => void;
	readonly log: SessionLog;
	/** Ends the following. */
	readonly signal: AbortSignal;
};

/**
 * Milliseconds between two calls at the least: rows that change one after the other are fetched together. Instances tell
 * small changes all the time, none of which must be known at once.
 */
const callSpacings = {configuration: 200, fleet: 120, instances: 600} as const satisfies Record<StoreTable, number>;

/** Milliseconds between two tries while the store does not answer, at the least and at the most. */
const retryDelay = {first: 100, last: 400};

/**
 * Follows a table of the store until told to stop: reads it whole, then waits for changes.
 *
 * Whenever a call fails or the store has forgotten the history, the table is read whole again.
 */
export async function followTable(options: Options): Promise<void> {
	const {
		store, table, reader, findWait, now, onTable, log, signal,
	} = options;
	let {known} = options;
	let isWhole = known !== undefined;
	let clock: StoreClock | undefined;
	let failures = 0;
	while (!signal.aborted) {
		const outcome = known === undefined || !isWhole
			? await store.read(table)
			// Only a short call tells how the store's clock runs, without which a long one proves little.
			: await store.follow(table, {after: known.version, wait: clock === undefined ? 0 : findWait(now().steady)});
		if (signal.aborted) {
			return;
		}

		if (outcome.kind !== 'done') {
			failures++;
			logFailure({
				table, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined, failures,
			}, log);
			isWhole = false;
			if (outcome.kind !== 'forgotten') {
				await sleep(Math.min(retryDelay.last, retryDelay.first * failures) * (0.5 + (Math.random() / 2)));
			}

			continue;
		}

		if (failures > 0) {
			log.info({table, failures}, 'store: The table can be read again.');
			failures = 0;
		}

		const {rows, version} = outcome.value;
		const proof = findConfirmedAt(clock, outcome.value);
		({clock} = proof);
		const merged = known !== undefined && isWhole && rows.length === 0 ? known.rows : applyRows(isWhole ? known?.rows : undefined, rows);
		known = {
			rows: merged,
			version,
			mark: merged === known?.rows ? known.mark : findTableMark(merged),
			provenAt: proof.confirmedAt,
			reader,
		};
		isWhole = true;
		onTable(known);
		await sleep(Math.max(0, callSpacings[table] - findElapsed(outcome.value.sentAt, outcome.value.answeredAt)));
	}
}

function logFailure(fields: {readonly table: StoreTable; readonly outcome: string; readonly reason: string | undefined; readonly failures: number}, log: SessionLog): void {
	if (fields.failures === 1) {
		log.warn(fields, 'store: The table cannot be read; it is tried again.');
	} else {
		log.debug(fields, 'store: The table still cannot be read.');
	}
}

function applyRows(known: ReadonlyMap<string, StoreRow> | undefined, changed: readonly StoreRow[]): ReadonlyMap<string, StoreRow> {
	const rows = new Map(known);
	for (const row of changed) {
		if (row.value === undefined) {
			rows.delete(row.key);
		} else {
			rows.set(row.key, row);
		}
	}

	return rows;
}
