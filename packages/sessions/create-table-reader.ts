/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {chooseSource} from './choose-source.ts';
import {findElapsed} from './find-elapsed.ts';
import type {FleetPeer} from './fleet-peer.ts';
import {followTable} from './follow-table.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {PositionOfAge} from './position-of-age.ts';
import type {SessionLog} from './session-log.ts';
import {settleSpan} from './settle-span.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';
import type {TableReader} from './table-reader.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	readonly store: Store;
	readonly listHosts: () => readonly HostRow[];
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Whether the fleet has begun nothing yet, as far as its rows tell. */
	readonly isFleetNew: () => boolean;
	readonly onTable: (table: StoreTable, known: KnownTable) => void;
	/** How far the logs of the primaries were, as this host knows. */
	readonly listPositions: () => readonly PositionOfAge[];
	/** Called with what another host knows of the logs; ages count from the moment given. */
	readonly onPositions: (positions: readonly PositionOfAge[], from: Instant) => void;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds that calls which follow the tables may wait for changes. */
const followWaits = {configuration: 1500, fleet: 800, instances: 4000} as const satisfies Record<StoreTable, number>;

/** Milliseconds for which the host that reads the store for this one may wait for a change before it answers. */
const pollWait = 400;

/** Milliseconds between two looks at where to learn from, and between two answers that changes follow each other in. */
const stepInterval = 100;

/** Milliseconds since the store confirmed what a source knows, after which another is asked. */
const ageLimits = {configuration: 2600, fleet: 1300, instances: 6000} as const satisfies Record<StoreTable, number>;

/** Answers that tell too little, or that do not come, after which a source is not asked for a while. */
const poorAnswersLimit = 2;

/** Milliseconds for which a source that does not know enough is not asked: the first time, and at the most. */
const avoidance = {first: 2000, last: 10_000};

/** Milliseconds for which a host reads the store after another host has asked it. */
const askedSpan = 2500;

/** Milliseconds after which reading the store must have told enough; a host that is asked then answers with what it has. */
const readPatience = 250;

const tables: readonly StoreTable[] = ['configuration', 'fleet', 'instances'];

/**
 * Creates what keeps a host's knowledge of the store: it reads the store itself, or asks the host of its zone
 * that does.
 */
export function createTableReader(options: Options): TableReader {
	const {self, zone, store, now, log} = options;
	const known = new Map<StoreTable, KnownTable>();
	const avoidedUntil = new Map<string, number>();
	/** For how long sources were avoided last; forgotten once they know enough. */
	const lastSpans = new Map<string, number>();
	const waiters = new Set<() => void>();
	let waitersForProof = 0;
	let direct: AbortController | undefined;
	let directSince = 0;
	/** Until when this host reads the store because others ask it, in steady milliseconds. */
	let readsUntil = 0;
	let lastSource = '';
	/** Answers of the present source in a row that told too little. */
	let poorAnswers = 0;
	let isStopped = false;

	const wakeWaiters = () => {
		for (const wake of waiters) {
			wake();
		}
	};

	/** Waits for a change of a table, or for a proof while too little is known, at the most for some milliseconds. */
	const waitForNews = async (limit: number) => new Promise<void>(resolve => {
		const wantsProof = isWhole() ? 0 : 1;
		waitersForProof += wantsProof;
		const finish = () => {
			clearTimeout(timer);
			waiters.delete(finish);
			waitersForProof -= wantsProof;
			resolve();
		};

		const timer = setTimeout(finish, limit);
		waiters.add(finish);
	});

	/** Waits until there is something that an asking host does not know; reads the store if too little is known to answer. */
	const waitForAsker = async (changedAt: ReadonlyMap<StoreTable, number>, wait: number) => {
		const wasWhole = isWhole();
		if (!wasWhole) {
			startDirect();
			if (now().steady - directSince > readPatience) {
				return;
			}
		}

		const until = now().steady + (wasWhole ? wait : Math.min(wait, readPatience));
		const hasNews = () => wasWhole !== isWhole()
			|| tables.some(table => known.has(table) && changedAt.get(table) !== known.get(table)?.changedAt);
		while (!hasNews() && now().steady < until) {
			await waitForNews(until - now().steady);
		}
	};

	const take = (table: StoreTable, newer: KnownTable) => {
		const older = known.get(table);
		const isNewer = older === undefined || newer.version > older.version
			|| (newer.version === older.version && newer.provenAt.steady >= older.provenAt.steady);
		if (isNewer) {
			known.set(table, newer);
			if (newer.changedAt !== older?.changedAt || waitersForProof > 0) {
				wakeWaiters();
			}

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
		const span = Math.min(avoidance.last, (lastSpans.get(source) ?? avoidance.first / 2) * 2);
		lastSpans.set(source, span);
		avoidedUntil.set(source, now().steady + span);
		log.info({source, span}, 'store: A source that does not know enough is not asked for a while.');
	};

	const isWhole = () => tables.every(table => isFresh(table));

	/** Asks another host; false when it does not know enough. */
	const poll = async (source: string): Promise<boolean> => {
		const sentAt = now();
		const changedAt = new Map([...known].map(([table, state]) => [table, state.changedAt]));
		const answer = await options.findPeer(source)?.readTables(changedAt, pollWait);
		// The other host got the question after it was sent, and answered so much later at the least.
		const waited = answer?.waited ?? 0;
		const answeredAfter = {steady: sentAt.steady + waited, wall: sentAt.wall + waited};
		for (const {table, version, changedAt: lastChange, age, rows} of answer?.tables ?? []) {
			const older = known.get(table);
			const provenAt = {steady: answeredAfter.steady - age, wall: answeredAfter.wall - age};
			const newRows = rows === undefined ? older?.rows : new Map(rows.map(row => [row.key, row]));
			if (newRows !== undefined) {
				take(table, {
					rows: newRows, version, changedAt: lastChange, provenAt,
				});
			}
		}

		options.onPositions(answer?.positions ?? [], answeredAfter);
		return answer !== undefined && isWhole();
	};

	/**
	 * Reads what a host needs to serve, so that it does not wait for others that may have restarted as well. When the
	 * fleet has no rows yet all hosts are just starting, and those that register are waited for.
	 */
	const startUp = async () => {
		await readWhole('fleet');
		if (options.isFleetNew()) {
			await sleep(settleSpan);
			await readWhole('fleet');
		} else {
			await Promise.all([readWhole('configuration'), readWhole('instances')]);
		}
	};

	const readWhole = async (table: StoreTable) => {
		const outcome = await store.read(table);
		if (outcome.kind === 'done') {
			const {rows, version, sentAt} = outcome.value;
			take(table, {
				rows: new Map(rows.map(row => [row.key, row])), version, changedAt: version, provenAt: sentAt,
			});
		} else {
			log.warn({table, outcome: outcome.kind}, 'store: The table cannot be read at the start.');
		}
	};

	const run = async () => {
		await startUp();
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
				const isSettled = now().steady - directSince > readPatience;
				if (isSettled && !(isFresh('fleet') && isFresh('configuration'))) {
					avoid(self);
				} else if (isSettled) {
					lastSpans.delete(self);
				}
			} else if (await poll(source)) {
				poorAnswers = 0;
				lastSpans.delete(source);
				if (now().steady > readsUntil) {
					stopDirect();
				}
			} else if (known.size === tables.length) {
				avoid(source);
				continue;
			} else {
				// The source may be about to learn more, as after a start.
				poorAnswers++;
				if (poorAnswers >= poorAnswersLimit) {
					poorAnswers = 0;
					avoid(source);
					continue;
				}
			}

			await sleep(stepInterval);
		}
	};

	void run();
	return {
		async readTables(changedAt, wait) {
			const askedAt = now();
			readsUntil = askedAt.steady + askedSpan;
			await waitForAsker(changedAt, wait);
			const at = now();
			return {
				waited: Math.max(0, at.steady - askedAt.steady),
				tables: [...known].map(([table, state]) => ({
					table,
					version: state.version,
					changedAt: state.changedAt,
					age: findElapsed(state.provenAt, at),
					rows: changedAt.get(table) === state.changedAt ? undefined : [...state.rows.values()],
				})),
				positions: options.listPositions(),
			};
		},
		isReading: () => direct !== undefined,
		stop() {
			isStopped = true;
			stopDirect();
		},
	};
}
