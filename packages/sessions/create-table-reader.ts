/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import type {AskedTable} from './asked-table.ts';
import {createPeerTable} from './create-peer-table.ts';
import {createSourceSelector} from './create-source-selector.ts';
import {createStoreFollower} from './create-store-follower.ts';
import {createTableKnowledge} from './create-table-knowledge.ts';
import {findRenewal} from './find-renewal.ts';
import {findTableMark} from './find-table-mark.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import {isSameMark} from './is-same-mark.ts';
import type {KnownTable} from './known-table.ts';
import {mergePeerTable} from './merge-peer-table.ts';
import type {PositionOfAge} from './position-of-age.ts';
import type {SessionLog} from './session-log.ts';
import {bootstrapSettleMs} from './bootstrap-settle-ms.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';
import type {TableReader} from './table-reader.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	readonly store: Store;
	readonly listHosts: () => readonly HostRow[];
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Registers this host in the store. */
	readonly register: () => Promise<void>;
	readonly onTable: (table: StoreTable, known: KnownTable) => void;
	/** How far the logs of the primaries were, as this host knows. */
	readonly listPositions: () => readonly PositionOfAge[];
	/** Called with what another host knows of the logs; ages count from the moment given. */
	readonly onPositions: (positions: readonly PositionOfAge[], from: Instant) => void;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds between two questions to a source, and between two looks at where to learn from. */
const stepInterval = 100;

/** Milliseconds since the store confirmed what a host knows, after which it reads the store to answer others. */
const answerLimits = {configuration: 1400, fleet: 1400, instances: 6000} as const satisfies Record<StoreTable, number>;

/** Milliseconds since the store confirmed what a source knows, after which another is asked. */
const ageLimits = {configuration: 1700, fleet: 1700, instances: 6500} as const satisfies Record<StoreTable, number>;

/** Milliseconds for which a source may wait for news before it answers, at the least and at the most. */
const pollWaits = {least: 250, most: 1100};

/** Milliseconds for which an answer waits for the other proofs when one is renewed. */
const joinSpan = 40;

/** Milliseconds from the first start of the fleet in which a host waits for its source instead of taking its place. */
const startPatience = 2500;

/** Milliseconds after which reading the store must have told enough; a host that is asked then answers with what it has. */
const readPatience = 250;

type Asked = ReadonlyMap<StoreTable, AskedTable>;

const tables: readonly StoreTable[] = ['configuration', 'fleet', 'instances'];

/** Creates what keeps a host's knowledge of the store: it reads the store itself, or asks another host; see `chooseSource`. */
export function createTableReader(options: Options): TableReader {
	const {self, store, now, log} = options;
	/** Tables that a source must tell whole, since rows were dropped. */
	const wantedWhole = new Set<StoreTable>();
	let isStopped = false;
	/** Whether enough was known once; before, hosts that start together are about to learn more. */
	let hasLearned = false;
	const startedAt = now().steady;

	const knowledge = createTableKnowledge({onTable: options.onTable, now});

	const follower = createStoreFollower({
		self, store, knowledge, now, log,
	});
	const sources = createSourceSelector(options);

	/** Whether all hosts are only just starting, and those that are to read have not told anything yet. */
	const isStarting = () => options.isFirstStart && !hasLearned && now().steady - startedAt < startPatience;

	/** Steady milliseconds at which reading the store must have told enough. */
	const findReadEnd = () => (follower.since() ?? now().steady) + readPatience;

	const hasNewRows = (asked: Asked) => knowledge.list().some(([table, {mark}]) => !isSameMark(asked.get(table)?.mark, mark));

	/** Waits until an asking host can be told something; reads the store if too little is known. */
	const waitForAsker = async (asked: Asked, wait: number) => {
		const askedAt = now().steady;
		let until = askedAt + wait;
		while (!hasNewRows(asked)) {
			const at = now().steady;
			const renewal = findRenewal({asked, waited: at - askedAt, ages: knowledge.listAges()});
			if (renewal === 'all') {
				return;
			}

			if (renewal === 'some') {
				until = Math.min(until, at + joinSpan);
			}

			const freshLeft = knowledge.findFreshLeft(answerLimits);
			const mayRead = freshLeft <= 0 && !isStarting();
			if (mayRead) {
				follower.start();
			}

			const end = mayRead ? Math.min(until, findReadEnd()) : until;
			if (at >= end) {
				return;
			}

			await knowledge.waitForNews(freshLeft > 0 ? Math.min(end - at, freshLeft) : end - at);
		}
	};

	/** Asks another host; false when it does not know enough. */
	const poll = async (source: string): Promise<boolean> => {
		const sentAt = now();
		const ages = knowledge.listAges();
		const asked: Asked = new Map(knowledge.list().map(([table, {mark}]) => [table, {mark: wantedWhole.has(table) ? undefined : mark, age: ages.get(table) ?? 0}]));
		const wait = Math.max(pollWaits.least, Math.min(pollWaits.most, knowledge.findFreshLeft(answerLimits)));
		const answer = await options.findPeer(source)?.readTables(asked, wait);
		if (answer === undefined) {
			return false;
		}

		// The other host got the question after it was sent, and answered so much later at the least.
		const answeredAfter = {steady: sentAt.steady + answer.waitedMs, wall: sentAt.wall + answer.waitedMs};
		for (const told of answer.tables) {
			const older = knowledge.findTable(told.table);
			if (older !== undefined && told.version < older.version) {
				continue;
			}

			const merged = mergePeerTable(told, {older, answeredAfter});
			if (merged === undefined) {
				wantedWhole.add(told.table);
			} else {
				wantedWhole.delete(told.table);
				knowledge.take(told.table, merged);
			}
		}

		options.onPositions(answer.positions, answeredAfter);
		// What this host itself has read is no news, though another tells it.
		return tables.every(table => answer.tables.some(told => told.table === table && told.reader !== self && told.age <= ageLimits[table]));
	};

	const readWhole = async (table: StoreTable) => {
		const outcome = await store.read(table);
		if (outcome.kind === 'done') {
			const {rows: list, version, sentAt} = outcome.value;
			const rows = new Map(list.map(row => [row.key, row]));
			knowledge.take(table, {
				rows, version, mark: findTableMark(rows), provenAt: sentAt, reader: self,
			});
		} else {
			log.warn({table, outcome: outcome.kind}, 'store: The table cannot be read at the start.');
		}
	};

	/**
	 * Registers and reads what a host needs to serve, so that it does not wait for others that may have restarted as well.
	 * When the fleet starts for the first time the other hosts are waited for, and one of them reads the rest.
	 */
	const startUp = async () => {
		await options.register();
		if (options.isFirstStart) {
			await sleep(bootstrapSettleMs);
			await readWhole('fleet');
		} else {
			await Promise.all(tables.map(async table => readWhole(table)));
		}
	};

	/** Learns from the store; gives it up for a while when it does not answer. */
	const stepDirect = async () => {
		follower.start();
		if (now().steady > findReadEnd()) {
			if (knowledge.findFreshLeft(ageLimits) <= 0) {
				sources.backOff(self);
			} else {
				hasLearned = true;
				sources.resetBackoff(self);
			}
		}

		await sleep(stepInterval);
	};

	const stepPolled = async (source: string) => {
		if (await poll(source)) {
			hasLearned = true;
			sources.resetBackoff(source);
			follower.stop();
			await sleep(stepInterval);
		} else if (isStarting()) {
			await sleep(stepInterval);
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
		async readTables(asked, wait) {
			const askedAt = now();
			await waitForAsker(asked, wait);
			const at = now();
			return {
				waitedMs: Math.max(0, at.steady - askedAt.steady),
				tables: knowledge.list().map(([table, known]) => createPeerTable(table, {known, asked: asked.get(table), now: at})),
				positions: options.listPositions(),
			};
		},
		isReading: () => follower.since() !== undefined,
		stop() {
			isStopped = true;
			follower.stop();
		},
	};
}
