import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createTableReader} from './create-table-reader.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {Store} from './store.ts';
import type {StoreOutcome} from './store-outcome.ts';
import type {StoreTable} from './store-table.ts';
import type {TableRead} from './table-read.ts';
import type {TableReader} from './table-reader.ts';

const now = (): Instant => ({steady: performance.now(), wall: performance.now()});
const log = {info: () => undefined, warn: () => undefined, debug: () => undefined};

/** Milliseconds for which a host may use a primary without a new proof. */
const leaseSpan = 2500;

/** A store that refuses some hosts, and counts what each reads. */
function createStore() {
	const refused = new Set<string>();
	const calls = new Map<string, number>();
	const open = (host: string): Store => {
		const answer = async (wait: number): Promise<StoreOutcome<TableRead>> => {
			calls.set(host, (calls.get(host) ?? 0) + 1);
			const sentAt = now();
			if (refused.has(host)) {
				return {kind: 'refused', reason: 'status 503'};
			}

			await sleep(wait);
			const answeredAt = now();
			return {
				kind: 'done', value: {
					rows: [], version: 1, storeNow: answeredAt.steady, sentAt, answeredAt,
				},
			};
		};

		return {
			read: async () => answer(4),
			follow: async (_, {wait}) => answer(wait),
			commit: async () => ({kind: 'refused', reason: ''}),
		};
	};

	return {refused, calls, open};
}

/** Creates a host of which only the tables are asked. */
function createPeer(readTables: FleetPeer['readTables']): FleetPeer {
	const ask = async () => undefined;
	return {
		readTables, claimRates: ask, fenceGroup: ask, confirmSilence: ask, runJob: ask, ping: ask,
	};
}

/** Starts hosts of one zone that learn from each other. */
function startZone(count: number) {
	const store = createStore();
	const names = Array.from({length: count}, (_, index) => `a${index}`);
	const readers = new Map<string, TableReader>();
	const proven = new Map<string, Map<StoreTable, number>>();
	const dark = new Set<string>();
	for (const name of names) {
		const tables = new Map<StoreTable, number>();
		proven.set(name, tables);
		readers.set(name, createTableReader({
			self: name,
			zone: 'a',
			store: store.open(name),
			listHosts: () => names.map(host => ({
				name: host, zone: 'a', address: '', incarnation: 1,
			})),
			findPeer: host => createPeer(async (changedAt, wait) => {
				await sleep(1);
				return dark.has(host) ? undefined : readers.get(host)?.readTables(changedAt, wait);
			}),
			isFleetNew: () => false,
			onTable(table: StoreTable, known: KnownTable) {
				tables.set(table, known.provenAt.steady);
			},
			listPositions: () => [],
			onPositions: () => undefined,
			now,
			log,
		}));
	}

	return {
		store,
		dark,
		names,
		/** Age of what a host knows of the fleet. */
		findAge: (host: string) => performance.now() - (proven.get(host)?.get('fleet') ?? 0),
		stop() {
			for (const reader of readers.values()) {
				reader.stop();
			}
		},
	};
}

describe('createTableReader', () => {
	const cases = [
		{name: 'the store refuses the hosts that read first', lost: 'refused', count: 3},
		{name: 'the host that reads for the zone is dark', lost: 'dark', count: 1},
	] as const;
	for (const {name, lost, count} of cases) {
		it(`keeps every lease of a zone of ten hosts while ${name}`, async () => {
			const zone = startZone(10);
			await sleep(1500);
			const readers = [...zone.store.calls].toSorted((a, b) => b[1] - a[1]).map(([host]) => host);
			const taken = readers.slice(0, count);
			for (const host of taken) {
				(lost === 'refused' ? zone.store.refused : zone.dark).add(host);
			}

			let oldest = 0;
			for (let step = 0; step < 60; step++) {
				await sleep(100); // eslint-disable-line no-await-in-loop -- the ages are looked at from time to time
				const watched = zone.names.filter(host => lost === 'refused' || !taken.includes(host));
				oldest = Math.max(oldest, ...watched.map(host => zone.findAge(host)));
			}

			zone.stop();
			expect(oldest).to.be.below(leaseSpan);
		}).timeout(20_000);
	}

	it('lets one host of a zone read for all', async () => {
		const zone = startZone(10);
		await sleep(1500);
		zone.store.calls.clear();
		await sleep(3000);
		zone.stop();
		expect(zone.store.calls.size).to.equal(1);
	}).timeout(20_000);
});
