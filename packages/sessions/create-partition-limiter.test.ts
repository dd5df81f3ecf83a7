import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createPermitKey} from './cold-instances/create-permit-key.ts';
import {createPartitionLimiter} from './create-partition-limiter.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {Store} from './store.ts';

type Claims = Parameters<FleetPeer['claimRates']>[0];

type Answer = Awaited<ReturnType<FleetPeer['claimRates']>>;

const limits = {rate: 50, burst: 50};
const now = (): Instant => ({steady: performance.now(), wall: Date.now()});

const createFleet = (epoch: number): FleetRows => ({
	hosts: new Map(['a1', 'b1'].map(name => [name, {
		name, zone: name.slice(0, 1), address: '', incarnation: 1, version: 1,
	}])),
	goneHosts: new Map(),
	groups: new Map(),
	rateAllocators: new Map([[0, {
		holder: 'b1', incarnation: 1, epoch, version: epoch,
	} satisfies RateAllocatorRow & {readonly version: number}]]),
	era: 1, failoverLock: undefined,
});

const noStore = {} as unknown as Store;
const ignore = () => undefined;
const log = {debug: ignore, info: ignore, warn: ignore};

/** Creates the limiter of host `a1`, whose claims the allocator on host `b1` answers. */
function createLimiter(answer: (claims: Claims) => Answer, store = noStore) {
	return createPartitionLimiter({
		self: 'a1',
		partition: 0,
		incarnation: 1,
		startedAt: performance.now(),
		bound: {window: 5000, overage: 0.1, slack: 20},
		findLimits: () => new Map([['upper', limits]]),
		findPeer: () => ({claimRates: async (claims: Claims) => answer(claims)}) as unknown as FleetPeer,
		findFleetConfirmedAt: now,
		store,
		now,
		log,
	});
}

/** Grants each claimed workspace a rate, and the operations that it needs if the shares of all hosts are known. */
const grant = ({claims}: Claims, isSettled: boolean): Answer => ({
	grants: new Map(claims.map(({workspace, needed}) => [workspace, {rate: 0, units: isSettled ? needed : 0}])), spanMs: 2500, isSettled,
});

describe('createPartitionLimiter, after all hosts have started at once', () => {
	const cases = [
		{
			name: 'serves a caller once the allocator knows the shares of all hosts', settlesAfterMs: 150, maxWaitMs: 800, expected: {kind: 'taken'},
		},
		{
			name: 'does not say that the rate is used up while no shares are assigned', settlesAfterMs: 5000, maxWaitMs: 100, expected: {kind: 'refused', reason: 'unassigned'},
		},
	];
	for (const {name, settlesAfterMs, maxWaitMs, expected} of cases) {
		it(name, async () => {
			const startedAt = performance.now();
			const limiter = createLimiter(claims => grant(claims, performance.now() - startedAt > settlesAfterMs));
			limiter.updateFleet(createFleet(1));
			expect(await limiter.takeOperation('upper', maxWaitMs)).to.include(expected);
		});
	}

	it('refuses at once when the rate is used up', async () => {
		const limiter = createLimiter(({claims}) => ({grants: new Map(claims.map(({workspace}) => [workspace, {rate: 0, units: 0}])), spanMs: 2500, isSettled: true}));
		limiter.updateFleet(createFleet(1));
		const startedAt = performance.now();
		expect(await limiter.takeOperation('upper', 800)).to.include({kind: 'refused', reason: 'usedUp'});
		expect(performance.now() - startedAt).to.be.below(400);
	});

	it('tells a new allocator of all its shares, also when a single operation is the first that it asks for', async () => {
		const sent: Claims[] = [];
		const limiter = createLimiter(claims => {
			sent.push(claims);
			return {grants: new Map(claims.claims.map(({workspace}) => [workspace, {rate: 10, units: 1}])), spanMs: 2500, isSettled: true};
		});
		limiter.updateFleet(createFleet(1));
		await limiter.takeOperation('upper', 100);
		await sleep(20);
		limiter.updateFleet(createFleet(2));
		await sleep(20);
		const first = sent.find(({epoch}) => epoch === 2);
		expect(first?.claims.map(({workspace, held}) => ({workspace, isHeld: held > 0}))).to.deep.equal([{workspace: 'upper', isHeld: true}]);
	});
});

describe('createPartitionLimiter, when the rate allocator stops to answer', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly isLost: (elapsed: number) => boolean; readonly answer: Answer; readonly hasTaken: boolean}> = [
		{
			name: 'takes the lease of an allocator that is lost', isLost: () => true, answer: undefined, hasTaken: true,
		},
		{
			name: 'takes the lease of a host that answers, but is not the allocator any more, as one that the store refuses', isLost: () => true, answer: 'notAllocator', hasTaken: true,
		},
		{
			name: 'leaves the lease to an allocator that was only slow', isLost: elapsed => elapsed < 450, answer: undefined, hasTaken: false,
		},
	];
	for (const {name, isLost, answer, hasTaken} of cases) {
		it(name, async () => {
			let commits = 0;
			let lostAt = Number.POSITIVE_INFINITY;
			const store = {
				async commit() {
					commits++;
					return {kind: 'done'};
				},
			} as unknown as Store;
			const limiter = createLimiter(claims => {
				const elapsed = performance.now() - lostAt;
				return claims.epoch !== 0 && elapsed >= 0 && isLost(elapsed) ? answer : grant(claims, true);
			}, store);
			limiter.updateFleet(createFleet(1));
			await sleep(50);
			lostAt = performance.now();
			const timer = setInterval(() => {
				limiter.step();
				void limiter.takeOperation('upper', 0);
			}, 50);
			await sleep(1300);
			clearInterval(timer);
			expect(commits > 0).to.equal(hasTaken);
		});
	}
});

describe('createPartitionLimiter, for permits of a cold instance', () => {
	const key = createPermitKey({group: 'pondbook', id: 'i-a'});
	const cases = [
		{
			name: 'takes what the allocator lends', units: 1, expected: true,
		},
		{
			name: 'has none when the allocator lends none', units: 0, expected: false,
		},
	];
	for (const {name, units, expected} of cases) {
		it(name, async () => {
			const limiter = createLimiter(() => ({grants: new Map([[key, {rate: 0, units}]]), spanMs: 2500, isSettled: true}));
			limiter.updateFleet(createFleet(1));
			expect(await limiter.takePermit(key, 0) !== undefined).to.equal(expected);
			expect(await limiter.takePermit(key, 0) !== undefined).to.equal(expected);
		});
	}

	it('has none without an allocator that answers', async () => {
		const limiter = createLimiter(() => undefined);
		expect(await limiter.takePermit(key, 0)).to.equal(undefined);
		limiter.updateFleet(createFleet(1));
		expect(await limiter.takePermit(key, 0)).to.equal(undefined);
	});
});
