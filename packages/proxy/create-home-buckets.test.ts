import {expect} from 'chai';
import {createHostState, type HostState, type Roster} from '@sapphirefall/decisions';
import {createHomeBuckets} from './create-home-buckets.ts';

const settings = {
	reserve: 0, reserveSpan: 600_000, loanSpan: 400, prefetch: 250, proofLimit: 1200, longestWait: 500, standby: 0.25, standbySpan: 4000,
};
const usualLimit = {rate: 10, burst: 100};
const only: Roster = {
	head: 3, epoch: 1, hosts: ['a'], homes: ['a'], acceptors: ['a'],
};

/** Creates the homes of host a, which alone is in the roster, at a time that the test moves. */
function createHomes(limit: {readonly rate: number; readonly burst: number} = usualLimit) {
	const clock = {now: 10_000};
	const base = createHostState({
		id: 'a', zone: 'a', address: '', isDeparting: false,
	}, 1);
	const readState = (): HostState => ({
		...base,
		configuration: {...base.configuration, workspaces: {upper: {...limit, databases: []}}},
		roster: only,
		homesKnownAt: 9900,
		provenAt: clock.now,
	});
	const homes = createHomeBuckets({
		self: 'a', settings, readState, findPeer: () => undefined, now: () => clock.now,
	});
	const borrow = (id: number, needed: number) => homes.lend({
		host: 'b', id, workspace: 'upper', needed, wanted: needed, settled: [], isStandby: false,
	})?.units;
	return {clock, homes, borrow};
}

const handed = {
	workspace: 'upper', head: 3, level: 50, loans: [],
};

describe('createBucketHomes', () => {
	it('lends nothing before the home of an older roster has stopped', () => {
		const {clock, borrow} = createHomes();
		expect(borrow(1, 1)).to.equal(undefined);
		clock.now = 9900 + 1200 + 440;
		expect(borrow(2, 1)).to.equal(0);
		clock.now += 1000;
		expect(borrow(3, 10)).to.equal(10);
	});

	it('holds back what the standby of the home before may still lend', () => {
		for (const [elapsed, most] of [[100_000, 100], [4300, 43]] as const) {
			const {clock, borrow} = createHomes();
			const since = 9900 + 1200 + 440;
			clock.now = since;
			borrow(1, 1);
			clock.now = since + elapsed;
			expect(borrow(2, most), `after ${elapsed} ms`).to.equal(most);
		}

		const {clock, borrow} = createHomes({rate: 1000, burst: 100});
		clock.now = 9900 + 1200 + 440;
		borrow(1, 1);
		clock.now += 4300;
		expect(borrow(2, 80)).to.equal(0);
		expect(borrow(3, 75)).to.equal(75);
	});

	it('lends a standby a part of the burst, for longer', () => {
		const {homes} = createHomes();
		homes.takeOver({...handed, level: 100});
		const ask = (id: number, settled: ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>) => homes.lend({
			host: 'b/standby', id, workspace: 'upper', needed: 0, wanted: 0, settled, isStandby: true,
		});
		expect(ask(1, [])).to.deep.equal({units: 25, span: 4000, retryAfter: 0});
		expect(ask(2, [{id: 1, used: 0, returned: 25}])?.units).to.equal(25);
	});

	it('lends at once from a bucket that was handed over', () => {
		const {homes, borrow} = createHomes();
		expect(homes.takeOver(handed)).to.equal(true);
		expect(borrow(1, 50)).to.equal(50);
	});

	it('takes a bucket over once, also when it is handed over again', () => {
		const {homes, borrow} = createHomes();
		homes.takeOver(handed);
		borrow(1, 50);
		expect(homes.takeOver(handed)).to.equal(true);
		expect(borrow(2, 50)).to.equal(0);
	});

	it('takes no bucket of another roster', () => {
		const {homes} = createHomes();
		expect(homes.takeOver({...handed, head: 2})).to.equal(false);
	});

	it('forgets its buckets when a roster was missed, and keeps them else', () => {
		for (const [epoch, units] of [[2, 50], [3, undefined]] as const) {
			const {homes, borrow} = createHomes();
			homes.takeOver(handed);
			homes.followRoster(only, {...only, epoch});
			expect(borrow(1, 50), `epoch ${epoch}`).to.equal(units);
		}
	});
});
