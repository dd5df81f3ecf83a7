/* eslint-disable no-await-in-loop -- steps run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ChooseRows} from './choose-rows.ts';
import {createChangeWait} from './create-change-wait.ts';
import {createTablePoll} from './create-table-poll.ts';
import {createTableUpdate} from './create-table-update.ts';
import {createSourceSelector} from './create-source-selector.ts';
import {createStoreFollower} from './create-store-follower.ts';
import {createTableCache} from './create-table-cache.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import type {PrimaryPosition} from './primary-position.ts';
import {rankZoneReaders} from './rank-zone-readers.ts';
import {readFirstTables} from './read-first-tables.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';
import type {TableSync} from './table-sync.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	/** Whether the whole fleet is starting for the first time. */
	readonly isFirstStart: boolean;
	readonly store: Store;
	readonly listHosts: () => readonly HostRow[];
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Registers this host in the store. */
	readonly register: () => Promise<void>;
	readonly chooseRows: ChooseRows;
	/** Called whenever a cached table is updated. */
	readonly onTable: (table: StoreTable, cached: CachedTable) => void;
	/** Lists the latest log positions of the primaries that this host knows. */
	readonly listPositions: () => readonly PrimaryPosition[];
	/** Called with the log positions that another host knows; their ages count from `from`. */
	readonly onPositions: (positions: readonly PrimaryPosition[], from: Instant) => void;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds between two requests to a source, and between two choices of a source. */
const stepIntervalMs = 100;

/** Staleness in milliseconds, by table, at which a host that another host requests tables from starts to read the store. */
const readThresholdsMs = {configuration: 900, fleet: 900, instances: 6000} as const satisfies Record<StoreTable, number>;

/** Maximum staleness in milliseconds, by table, of a source's tables; the host changes its source beyond it. */
const maxSourceAgesMs = {configuration: 1200, fleet: 1200, instances: 6500} as const satisfies Record<StoreTable, number>;

/** Milliseconds after the first start of the fleet during which a host waits for its source instead of reading the store in its place. */
const bootstrapTimeoutMs = 2500;

/** Milliseconds after which a store reader must have recent tables. After that, a host answers requests of other hosts with the tables that it has. */
const readTimeoutMs = 250;

/** Creates the synchronization of a host's cached tables: it reads the store itself or polls another host; see `chooseSource`. */
export function createTableSync(options: Options): TableSync {
	const {self, store, now, log} = options;
	let isStopped = false;
	/** Whether the tables have been up to date once. Until then, hosts that start together may still be waiting for each other. */
	let hasSynchronized = false;
	const startedAt = now().steady;

	const cache = createTableCache({
		chooseRows: options.chooseRows, onTable: options.onTable, now, log,
	});

	const follower = createStoreFollower({
		self, store, cache, now, log,
	});
	const sources = createSourceSelector(options);
	const findFreshRemaining = () => cache.findFreshRemaining(readThresholdsMs);
	const poll = createTablePoll({
		...options, cache, findFreshRemaining, maxAgesMs: maxSourceAgesMs,
	});

	/** Whether the fleet is starting for the first time and the store readers may not have any tables yet. */
	const isBootstrapping = () => options.isFirstStart && !hasSynchronized && now().steady - startedAt < bootstrapTimeoutMs;

	/** Finds the time at which a store reader must have recent tables, in milliseconds of the steady clock. */
	const findReadDeadline = () => (follower.followedSince() ?? now().steady) + readTimeoutMs;

	const waitForChanges = createChangeWait({
		cache,
		findFreshRemaining,
		isBootstrapping,
		startReading() {
			follower.start();
			return findReadDeadline();
		},
		isStopped: () => isStopped,
		now: () => now().steady,
	});

	/** Whether other hosts of the zone read from this host. */
	const isZoneReader = () => rankZoneReaders(options.zone, options.listHosts())[0] === self;

	/** Registers the host and reads its first tables; the zone reader goes on reading the store until its own source has answered. */
	const startUp = async () => {
		await options.register();
		await readFirstTables({...options, cache, poll});
		if (!options.isFirstStart && isZoneReader()) {
			follower.start();
		}
	};

	/** Reads the store; stops choosing it for a while if its tables become too stale. */
	const stepDirect = async () => {
		follower.start();
		if (now().steady > findReadDeadline()) {
			if (cache.findFreshRemaining(maxSourceAgesMs) <= 0) {
				sources.backOff(self);
			} else {
				hasSynchronized = true;
				sources.resetBackoff(self);
			}
		}

		await sleep(stepIntervalMs);
	};

	/** Polls another host; stops choosing it for a while if its tables are too stale. */
	const stepPolled = async (source: string) => {
		if (await poll(source)) {
			hasSynchronized = true;
			sources.resetBackoff(source);
			follower.stop();
			await sleep(stepIntervalMs);
		} else if (isBootstrapping()) {
			await sleep(stepIntervalMs);
		} else {
			sources.backOff(source);
		}
	};

	const run = async () => {
		await startUp();
		while (!isStopped) { // eslint-disable-line no-unmodified-loop-condition -- `stop` sets it
			const source = sources.choose();
			await (source === self ? stepDirect() : stepPolled(source));
		}
	};

	void run();
	return {
		async readTables(requested, wait) {
			const requestedAt = now();
			await waitForChanges(requested, wait);
			const at = now();
			return {
				waitedMs: Math.max(0, at.steady - requestedAt.steady),
				tables: cache.listTables().map(([table, cached]) => createTableUpdate(table, {cached, requested: requested.get(table), now: at})),
				positions: options.listPositions(),
			};
		},
		isStoreReader: () => follower.followedSince() !== undefined,
		stop() {
			isStopped = true;
			follower.stop();
			cache.wakeAll();
		},
	};
}
