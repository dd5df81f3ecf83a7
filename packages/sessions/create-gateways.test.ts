import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createGateways} from './create-gateways.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HostRow} from './host-row.ts';
import type {Job} from './job.ts';
import type {JobAnswer} from './job-answer.ts';
import type {ListedInstance} from './listed-instance.ts';

const createRow = (name: string): HostRow & {readonly version: number} => ({
	name, zone: name.slice(0, 1), address: name, incarnation: 1, version: 1,
});
const hosts = new Map(['a1', 'a2', 'a3', 'b1', 'b2'].map(name => [name, createRow(name)]));
const instance: ListedInstance = {
	id: 'i-1', group: 'pondbook', host: '', port: 0, zone: 'a', slots: 5, isDeparting: false, role: 'primary',
};
const regions = {byZone: new Map([['a', 'north'], ['b', 'east']])};
const job: Job = {kind: 'position', workspace: 'upper'};
const answer: JobAnswer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: 'idle', position: undefined,
};

/** Milliseconds after which a ping to a lost host is given up. */
const pingTimeoutMs = 50;

/** Milliseconds after which a job at a lost host is given up. */
const jobTimeoutMs = 600;

/** Creates the gateways of host `b1`, for an instance in zone `a`, while some hosts are lost. */
function createCase(lost: ReadonlySet<string>) {
	const pinged: string[] = [];
	const fleet: FleetRows = {
		hosts, goneHosts: new Map(), groups: new Map(), rateAllocators: new Map(), era: 1, failoverLock: undefined,
	};
	const findPeer = (host: string): FleetPeer => ({
		async runJob() {
			await sleep(lost.has(host) ? jobTimeoutMs : 1);
			return lost.has(host) ? undefined : answer;
		},
		async ping() {
			pinged.push(host);
			await sleep(lost.has(host) ? pingTimeoutMs : 1);
			return !lost.has(host);
		},
	}) as unknown as FleetPeer;
	const gateways = createGateways({
		own: createRow('b1'), findFleet: () => fleet, findPeer, countGateways: () => 3, hasConnectionPerWorkspace: () => false, regions, now: () => performance.now(),
	});
	return {gateways, pinged};
}

describe('createGateways, for statements that are restricted to regions', () => {
	const cases = [
		{
			name: 'lets a host of an allowed region receive them', host: 'a1', allowed: ['north'], expected: true,
		},
		{
			name: 'keeps them from a host of this host\'s region, which the caller may not be in', host: 'b2', allowed: ['north'], expected: false,
		},
		{
			name: 'lets this host keep them', host: 'b1', allowed: [], expected: true,
		},
		{
			name: 'keeps them from a host of another region', host: 'a1', allowed: ['east'], expected: false,
		},
		{
			name: 'keeps them from a host that is not registered', host: 'a9', allowed: ['north'], expected: false,
		},
	];
	for (const {name, host, allowed, expected} of cases) {
		it(name, () => {
			expect(createCase(new Set()).gateways.mayReceive(host, new Set(allowed))).to.equal(expected);
		});
	}
});

describe('createGateways, when jobs are not answered', () => {
	it('finds all gateways of a zone that goes silent with the first slow job, not one after the other', async () => {
		const lost = new Set(['a1', 'a2', 'a3']);
		const {gateways, pinged} = createCase(lost);
		void gateways.runJob('a1', instance, job);
		await sleep(300);
		expect(pinged.toSorted((a, b) => a.localeCompare(b))).to.deep.equal(['a1', 'a2', 'a3']);
		expect(gateways.findSilentSince(instance)).to.be.a('number');
		expect(gateways.hasSilentHost('a')).to.equal(true);
	});

	it('does not take a zone for silent while one of its gateways answers', async () => {
		const {gateways} = createCase(new Set(['a1', 'a2']));
		void gateways.runJob('a1', instance, job);
		await sleep(300);
		expect(gateways.findSilentSince(instance)).to.equal(undefined);
		expect(gateways.hasSilentHost('a')).to.equal(true);
	});

	it('pings nobody while jobs are answered soon', async () => {
		const {gateways, pinged} = createCase(new Set());
		await gateways.runJob('a1', instance, job);
		await sleep(200);
		expect(pinged).to.deep.equal([]);
	});

	it('does not hold hosts for silent for good that it no longer asks', async () => {
		const {gateways} = createCase(new Set(['a1', 'a2', 'a3']));
		gateways.probe(instance);
		await sleep(100);
		expect(gateways.hasSilentHost('a')).to.equal(true);
		await sleep(1100);
		expect(gateways.hasSilentHost('a')).to.equal(false);
		expect(gateways.findSilentSince(instance)).to.equal(undefined);
	});
});

describe('createGateways, when a gateway is stopping', () => {
	// A write went to a stopping gateway first, once a second, until its registration was deleted.
	it('avoids its process until another one is registered, and does not take it for silent', async () => {
		let at = 0;
		let registered = hosts;
		const gateways = createGateways({
			own: createRow('b1'),
			findFleet: () => ({
				hosts: registered, goneHosts: new Map(), groups: new Map(), rateAllocators: new Map(), era: 1, failoverLock: undefined,
			}),
			findPeer: () => ({runJob: async () => 'stopping', ping: async () => true}) as unknown as FleetPeer,
			countGateways: () => 3,
			hasConnectionPerWorkspace: () => false,
			regions,
			now: () => at,
		});
		expect(await gateways.runJob('a1', instance, job)).to.equal('notServed');
		for (at of [0, 1100, 10_000]) {
			expect(gateways.isAvoided('a1', instance)).to.equal(true);
			expect(gateways.isAvoided('a2', instance)).to.equal(false);
			expect(gateways.hasSilentHost('a')).to.equal(false);
		}

		registered = new Map([...hosts, ['a1', {...createRow('a1'), incarnation: 2}]]);
		expect(gateways.isAvoided('a1', instance)).to.equal(false);
	});

	// A late answer of a process that was stopping made others avoid the next process of its host until that one stopped.
	it('does not avoid a process that was registered before the answer of the one before it came', async () => {
		let registered = hosts;
		const gateways = createGateways({
			own: createRow('b1'),
			findFleet: () => ({
				hosts: registered, goneHosts: new Map(), groups: new Map(), rateAllocators: new Map(), era: 1, failoverLock: undefined,
			}),
			findPeer: () => ({
				async runJob() {
					registered = new Map([...hosts, ['a1', {...createRow('a1'), incarnation: 2}]]);
					return 'stopping';
				},
				ping: async () => true,
			}) as unknown as FleetPeer,
			countGateways: () => 3,
			hasConnectionPerWorkspace: () => false,
			regions,
			now: () => 0,
		});
		await gateways.runJob('a1', instance, job);
		expect(gateways.isAvoided('a1', instance)).to.equal(false);
	});
});
