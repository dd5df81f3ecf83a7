import {expect} from 'chai';
import {createHostState, type HostState, type Roster} from '@sapphirefall/decisions';
import {createBucketHomes} from './create-bucket-homes.ts';

const settings = {
	reserve: 0, reserveSpan: 600_000, loanSpan: 400, prefetch: 250, proofLimit: 1200, longestWait: 500,
};
const only: Roster = {
	head: 3, epoch: 1, hosts: ['a'], homes: ['a'], acceptors: ['a'],
};

/** Creates the homes of host a, which alone is in the roster, at a time that the test moves. */
function createHomes() {
	const clock = {now: 10_000};
	const base = createHostState({
		id: 'a', zone: 'a', address: '', isDeparting: false,
	}, 1);
	const readState = (): HostState => ({
		...base,
		configuration: {...base.configuration, workspaces: {upper: {rate: 10, burst: 100, databases: []}}},
		roster: only,
		homesKnownAt: 9900,
		provenAt: clock.now,
	});
	const homes = createBucketHomes({
		self: 'a', settings, readState, findPeer: () => undefined, now: () => clock.now,
	});
	const borrow = (id: number, needed: number) => homes.lend({
		host: 'b', id, workspace: 'upper', needed, wanted: needed, settled: [],
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
