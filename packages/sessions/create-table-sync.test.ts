import {setTimeout as sleep} from 'node:timers/promises';
import {rankHosts} from '@sapphirefall/decisions';
import {expect} from 'chai';
import {createTableSync} from './create-table-sync.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import type {Store} from './store.ts';
import type {StoreOutcome} from './store-outcome.ts';
import type {StoreTable} from './store-table.ts';
import type {TableRead} from './table-read.ts';
import type {TableSync} from './table-sync.ts';

const now = (): Instant => ({steady: performance.now(), wall: performance.now()});
const log = {info: () => undefined, warn: () => undefined, debug: () => undefined};

/** Milliseconds for which a host may use a primary without a new proof. */
const leaseSpan = 2500;

/** Milliseconds beyond its wait after which a call to another host is given up. */
const callTimeout = 500;

/** Calls to the store a second for the whole fleet: two proofs, and instances now and then. */
const callsPerSecond = 3;

/** Milliseconds of age that proofs reach while nothing is wrong: their period, and the ways. */
const calmAge = 1400;

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

/** Starts hosts, as many in each zone, that learn from each other. */
function startFleet(zones: readonly string[], count: number) {
	const store = createStore();
	const hosts = zones.flatMap(zone => Array.from({length: count}, (_, index) => ({
		name: `${zone}${index}`, zone, address: '', incarnation: 1,
	})));
	const readers = new Map<string, TableSync>();
	const proven = new Map<string, Map<StoreTable, number>>();
	const dark = new Set<string>();
	/** Zone that is cut off from the others. */
	let cutZone: string | undefined;
	const isReached = (from: string, to: string) => !dark.has(to) && (from.startsWith(cutZone ?? '?') === to.startsWith(cutZone ?? '?'));
	for (const {name, zone} of hosts) {
		const tables = new Map<StoreTable, number>();
		proven.set(name, tables);
		readers.set(name, createTableSync({
			self: name,
			zone,
			isFirstStart: false,
			store: store.open(name),
			listHosts: () => hosts,
			findPeer: host => createPeer(async (asked, wait) => {
				await sleep(1);
				const answer = isReached(name, host) ? readers.get(host)?.readTables(asked, wait) : undefined;
				const first = await Promise.race([answer, sleep(callTimeout + wait, undefined)]);
				return isReached(name, host) ? first : undefined;
			}),
			register: async () => undefined,
			onTable(table: StoreTable, known: CachedTable) {
				tables.set(table, known.confirmedAt.steady);
			},
			listPositions: () => [],
			onPositions: () => undefined,
			now,
			log,
		}));
	}

	const findAge = (host: string, table: StoreTable) => performance.now() - (proven.get(host)?.get(table) ?? 0);
	const names = hosts.map(({name}) => name);
	return {
		store,
		dark,
		names,
		cut(zone: string) {
			cutZone = zone;
		},
		/** Age of the oldest proof of a table that some host has, over a time. */
		async findOldest(table: StoreTable, {watched, steps}: {readonly watched: readonly string[]; readonly steps: number}) {
			let oldest = 0;
			for (let step = 0; step < steps; step++) {
				await sleep(100); // eslint-disable-line no-await-in-loop -- the ages are looked at from time to time
				oldest = Math.max(oldest, ...watched.map(host => findAge(host, table)));
			}

			return oldest;
		},
		stop() {
			for (const reader of readers.values()) {
				reader.stop();
			}
		},
	};
}

describe('createTableSync', () => {
	const zones = ['a', 'b', 'c'];
	const names = zones.flatMap(zone => Array.from({length: 6}, (_, index) => `${zone}${index}`));
	const [fleetReader = ''] = rankHosts('reader', names);
	/** Hosts of a zone other than the fleet's reader's, the one that reads for the zone first. */
	const readersOf = (zone: string) => rankHosts(`reader/${zone}`, names.filter(name => name.startsWith(zone)));
	const otherZone = zones.find(zone => !fleetReader.startsWith(zone)) ?? '';
	const [zoneReader = '', second = '', third = ''] = readersOf(otherZone);
	const cases: ReadonlyArray<{readonly name: string; readonly refused: readonly string[]; readonly dark: readonly string[]; readonly cut: string | undefined}> = [
		{
			name: 'the store refuses the host that reads for the fleet', refused: [fleetReader], dark: [], cut: undefined,
		},
		{
			name: 'the store refuses the hosts that read first', refused: [fleetReader, zoneReader, second, third], dark: [], cut: undefined,
		},
		{
			name: 'the host that reads for the fleet is dark', refused: [], dark: [fleetReader], cut: undefined,
		},
		{
			name: 'the host that reads for a zone is dark', refused: [], dark: [zoneReader], cut: undefined,
		},
		{
			name: 'both are dark', refused: [], dark: [fleetReader, zoneReader], cut: undefined,
		},
		{
			name: 'a zone is cut off from the others', refused: [], dark: [], cut: otherZone,
		},
		{
			name: 'the zone of the host that reads for the fleet is cut off from the others', refused: [], dark: [], cut: fleetReader.slice(0, 1),
		},
	];
	/** Loses hosts of a fleet that runs, and returns the age of the oldest proof that another host had meanwhile. */
	const findOldestProof = async ({refused, dark, cut}: typeof cases[number]) => {
		const fleet = startFleet(zones, 6);
		await sleep(1500);
		for (const host of refused) {
			fleet.store.refused.add(host);
		}

		for (const host of dark) {
			fleet.dark.add(host);
		}

		if (cut !== undefined) {
			fleet.cut(cut);
		}

		const watched = fleet.names.filter(host => !dark.includes(host));
		const oldest = await fleet.findOldest('fleet', {watched, steps: 80});
		fleet.stop();
		return oldest;
	};

	/** All cases run at once, since most of their time is waiting. */
	const oldest: Array<Promise<number>> = [];
	before(() => {
		oldest.push(...cases.map(async lost => findOldestProof(lost)));
	});

	for (const [index, {name}] of cases.entries()) {
		it(`keeps every lease while ${name}`, async () => {
			expect(await oldest[index]).to.be.below(leaseSpan);
		}).timeout(20_000);
	}

	it('lets one host read for all zones, and tells all hosts each proof', async () => {
		const fleet = startFleet(zones, 6);
		await sleep(2000);
		fleet.store.calls.clear();
		const ages = await Promise.all((['fleet', 'configuration'] as const).map(async table => fleet.findOldest(table, {watched: fleet.names, steps: 50})));
		fleet.stop();
		expect([...fleet.store.calls.keys()]).to.deep.equal([fleetReader]);
		expect(fleet.store.calls.get(fleetReader)).to.be.at.most(callsPerSecond * 5);
		expect(Math.max(...ages)).to.be.below(calmAge);
	}).timeout(20_000);
});
