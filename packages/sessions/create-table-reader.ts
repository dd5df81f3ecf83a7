/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {chooseSource} from './choose-source.ts';
import {findElapsed} from './find-elapsed.ts';
import type {FleetPeer} from './fleet-peer.ts';
import {followTable} from './follow-table.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';
import type {TableReader} from './table-reader.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	readonly store: Store;
	readonly listHosts: () => readonly HostRow[];
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly onTable: (table: StoreTable, known: KnownTable) => void;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds that calls which follow the tables may wait for changes. */
const followWaits = {configuration: 1500, fleet: 1000, instances: 4000} as const satisfies Record<StoreTable, number>;

/** Milliseconds between two questions to the host that reads the store for this one. */
const pollInterval = 250;

/** Milliseconds since the store confirmed what a source knows, after which another is asked. */
const ageLimits = {configuration: 2600, fleet: 1500, instances: 6000} as const satisfies Record<StoreTable, number>;

/** Milliseconds for which a source that does not know enough is not asked. */
const avoidance = 2000;

const tables: readonly StoreTable[] = ['configuration', 'fleet', 'instances'];

/**
 * Creates what keeps a host's knowledge of the store: it reads the store itself, or asks the host of its zone
 * that does.
 */
export function createTableReader(options: Options): TableReader {
	const {self, zone, store, now, log} = options;
	const known = new Map<StoreTable, KnownTable>();
	const avoidedUntil = new Map<string, number>();
	let direct: AbortController | undefined;
	let directSince = 0;
	let lastSource = '';
	let isStopped = false;

	const take = (table: StoreTable, newer: KnownTable) => {
		const older = known.get(table);
		const isNewer = older === undefined || newer.version > older.version
			|| (newer.version === older.version && newer.provenAt.steady >= older.provenAt.steady);
		if (isNewer) {
			known.set(table, newer);
			options.onTable(table, newer);
		}
	};

	const startDirect = () => {
		if (direct !== undefined) {
			return;
		}

		direct = new AbortController();
		directSince = now().steady;
		for (const table of tables) {
			void followTable({
				store,
				table,
				wait: followWaits[table],
				known: known.get(table),
				onTable(newer) {
					take(table, newer);
				},
				log,
				signal: direct.signal,
			});
		}
	};

	const stopDirect = () => {
		direct?.abort();
		direct = undefined;
	};

	const isFresh = (table: StoreTable) => {
		const state = known.get(table);
		return state !== undefined && findElapsed(state.provenAt, now()) <= ageLimits[table];
	};

	const avoid = (source: string) => {
		avoidedUntil.set(source, now().steady + avoidance);
	};

	/** Asks another host; false when it does not know enough. */
	const poll = async (source: string): Promise<boolean> => {
		const sentAt = now();
		const changedAt = new Map([...known].map(([table, state]) => [table, state.changedAt]));
		const answer = await options.findPeer(source)?.readTables(changedAt);
		for (const {table, version, changedAt: lastChange, age, rows} of answer ?? []) {
			const older = known.get(table);
			const provenAt = {steady: sentAt.steady - age, wall: sentAt.wall - age};
			const newRows = rows === undefined ? older?.rows : new Map(rows.map(row => [row.key, row]));
			if (newRows !== undefined) {
				take(table, {
					rows: newRows, version, changedAt: lastChange, provenAt,
				});
			}
		}

		return answer !== undefined && tables.every(table => isFresh(table));
	};

	const run = async () => {
		while (!isStopped) { // eslint-disable-line no-unmodified-loop-condition -- `stop` sets it
			const source = chooseSource({
				self, zone, hosts: options.listHosts(), avoidedUntil, now: now().steady,
			});
			if (source !== lastSource) {
				log.info({source, previous: lastSource}, 'store: What the store holds is learned from another source.');
				lastSource = source;
			}

			if (source === self) {
				startDirect();
				const isSettled = now().steady - directSince > ageLimits.fleet;
				if (isSettled && !(isFresh('fleet') && isFresh('configuration'))) {
					avoid(self);
				}
			} else if (await poll(source)) {
				stopDirect();
			} else {
				avoid(source);
				continue;
			}

			await sleep(pollInterval);
		}
	};

	void run();
	return {
		async readTables(changedAt) {
			const at = now();
			return [...known].map(([table, state]) => ({
				table,
				version: state.version,
				changedAt: state.changedAt,
				age: findElapsed(state.provenAt, at),
				rows: changedAt.get(table) === state.changedAt ? undefined : [...state.rows.values()],
			}));
		},
		stop() {
			isStopped = true;
			stopDirect();
		},
	};
}
