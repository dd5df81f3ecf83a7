import {expect} from 'chai';
import fc from 'fast-check';
import {applyGrant} from './apply-grant.ts';
import {assignRates} from './assign-rates.ts';
import {createShareState} from './create-share-state.ts';
import {findDemand} from './find-demand.ts';
import {findHeldRate} from './find-held-rate.ts';
import type {RateAllocatorState} from './rate-allocator-state.ts';
import type {ShareState} from './share-state.ts';
import {takeOperation} from './take-operation.ts';

const hosts = ['a1', 'a2', 'b1', 'c1'];
const listRegistered = (names: readonly string[]) => names.map(name => ({name, zone: name.slice(0, 1)}));
const bound = {window: 5000, overage: 0.1, slack: 20};
const limits = new Map([['upper', {rate: 100, burst: 100}]]);
const empty: RateAllocatorState = {
	epoch: 1, startedAt: 0, handoverEndsAt: 3300, creditFrom: 0, credited: new Set(), hosts: new Map(), lastClaimAt: new Map(), pools: new Map(),
};

const claim = (state: RateAllocatorState, {host, demand, held = 0, needed = 0, now}: {readonly host: string; readonly demand: number; readonly held?: number; readonly needed?: number; readonly now: number}) => {
	const {state: next, grants} = assignRates(state, {
		host,
		claims: [{
			workspace: 'upper', demand, held, heldFor: 1000, needed,
		}],
		limits,
		bound,
		registered: listRegistered(hosts),
		spanMs: 3000,
		now,
	});
	return {state: next, rate: grants.get('upper')?.rate ?? 0, units: grants.get('upper')?.units ?? 0};
};

/** Simulates callers of one workspace that reach hosts at random, and returns when operations ran and how many were refused. */
function simulateSparseFleet({rate, hostCount, seed, perSecond}: {readonly rate: number; readonly hostCount: number; readonly seed: number; readonly perSecond: number}) {
	const workspaceLimits = new Map([['upper', {rate, burst: rate}]]);
	const registered = Array.from({length: hostCount}, (_, index) => `host-${index}`);
	const shares = new Map<string, ShareState>();
	const taken: number[] = [];
	let refused = 0;
	let state: RateAllocatorState = {...empty, startedAt: -15_000, handoverEndsAt: -12_200};
	let random = seed;
	const nextRandom = () => {
		random = ((random * 1_103_515_245) + 12_345) % 2_147_483_648;
		return random / 2_147_483_648;
	};

	const take = (host: string, now: number, isFirst: boolean) => {
		const outcome = takeOperation(shares.get(host), {
			limits: {rate, burst: rate}, bound, hostCount, now: {steady: now, wall: now}, isFirst,
		});
		shares.set(host, outcome.share);
		return outcome.isTaken;
	};

	const claimShare = (host: string, now: number) => {
		const at = {steady: now, wall: now};
		const share = shares.get(host) ?? createShareState(at);
		const held = findHeldRate(share, at);
		const assigned = assignRates(state, {
			host,
			claims: [{
				workspace: 'upper', demand: findDemand(share, at), held: held.rate, heldFor: held.left, needed: 1,
			}],
			limits: workspaceLimits,
			bound,
			registered: registered.map((name, index) => ({name, zone: `zone-${index % 3}`})),
			spanMs: 2800,
			now,
		});
		({state} = assigned);
		shares.set(host, applyGrant(share, {
			...assigned.grants.get('upper') ?? {rate: 0, units: 0}, spanMs: 2500, requestedAt: at, now,
		}));
	};

	for (let now = 0; now < 14_000; now -= 1000 * Math.log(1 - nextRandom()) / perSecond) {
		const host = registered[Math.floor(nextRandom() * hostCount)] ?? '';
		let isTaken = take(host, now, true);
		if (!isTaken) {
			claimShare(host, now);
			isTaken = take(host, now, false);
		}

		if (isTaken) {
			taken.push(now);
		} else {
			refused++;
		}
	}

	return {taken, refused};
}

describe('assignRates', () => {
	it('assigns an equal part to hosts without demand once all hosts have claimed', () => {
		let state = empty;
		for (const host of hosts) {
			({state} = claim(state, {host, demand: 0, now: 10}));
		}

		expect(claim(state, {host: 'a1', demand: 0, now: 20}).rate).to.equal(2.5);
	});

	it('grants waiting callers operations from the unassigned rate', () => {
		let state = empty;
		for (const host of hosts) {
			({state} = claim(state, {host, demand: 5, now: 10}));
		}

		({state} = claim(state, {host: 'a1', demand: 5, now: 500}));
		expect(claim(state, {
			host: 'a1', demand: 5, needed: 2, now: 510,
		}).units).to.equal(2);
	});

	it('moves shares to the host with the highest demand', () => {
		let state = empty;
		let rate = 0;
		for (const now of [10, 700, 1400]) {
			for (const host of hosts) {
				const claimed = claim(state, {
					host, demand: host === 'a1' ? 300 : 5, held: 0, now,
				});
				({state} = claimed);
				rate = host === 'a1' ? claimed.rate : rate;
			}
		}

		expect(rate).to.be.above(70);
	});

	it('grants no more than a host holds while shares of an earlier allocator may be in use', () => {
		expect(claim(empty, {
			host: 'a1', demand: 50, held: 12, needed: 2, now: 10,
		})).to.include({rate: 12, units: 0});
		expect(claim(empty, {
			host: 'a1', demand: 50, held: 12, now: 4000,
		}).rate).to.be.above(50);
	});

	it('grants what a zone that is cut off cannot hold, after all reachable hosts have started at once', () => {
		let state = empty;
		({state} = claim(state, {host: 'a1', demand: 20, now: 10}));
		expect(claim(state, {host: 'a2', demand: 20, now: 20}).rate).to.equal(0);
		({state} = claim(state, {host: 'a2', demand: 20, now: 20}));
		// The hosts of zones `a` and `b` have claimed; those of zone `c` may hold three quarters of the rate.
		({state} = claim(state, {host: 'b1', demand: 20, now: 30}));
		const rates: number[] = [];
		for (const host of ['a1', 'a2', 'b1']) {
			const claimed = claim(state, {host, demand: 20, now: 40});
			({state} = claimed);
			rates.push(claimed.rate);
		}

		expect(rates.reduce((sum, rate) => sum + rate, 0)).to.equal(25);
	});

	it('gives waiting callers what the rate amounts to since its process started, after all hosts have started at once', () => {
		let state: RateAllocatorState = {...empty, startedAt: 400, creditFrom: 0};
		for (const host of hosts) {
			({state} = claim(state, {host, demand: 0, now: 400}));
		}

		expect(claim(state, {
			host: 'a1', demand: 0, needed: 8, now: 401,
		}).units).to.equal(8);
		expect(claim({
			...state, creditFrom: 400, credited: new Set(), pools: new Map(),
		}, {
			host: 'a1', demand: 0, needed: 8, now: 401,
		}).units).to.equal(0);
	});

	it('grants nothing of a zone that is cut off while the allocator there may still give single operations', () => {
		let state: RateAllocatorState = {...empty, creditFrom: 1200};
		for (const host of ['a1', 'a2', 'b1']) {
			({state} = claim(state, {host, demand: 20, now: 40}));
		}

		expect(claim(state, {host: 'a1', demand: 20, now: 1100}).rate).to.equal(0);
		expect(claim(state, {host: 'a1', demand: 20, now: 1300}).rate).to.be.above(0);
	});

	it('leaves a quarter of the rate to hosts of other zones, so that they can go on while a zone is cut off', () => {
		let state: RateAllocatorState = {...empty, startedAt: -10_000, handoverEndsAt: -6700};
		let sum = 0;
		for (const host of ['a1', 'a2']) {
			const claimed = claim(state, {host, demand: 300, now: 10});
			({state} = claimed);
			sum += claimed.rate;
		}

		expect(sum).to.be.at.most(75);
	});

	for (const {rate, hostCount} of [{rate: 5, hostCount: 89}, {rate: 12, hostCount: 9}, {rate: 24, hostCount: 9}, {rate: 46, hostCount: 30}, {rate: 137, hostCount: 89}]) {
		it(`refuses at most 0.1 % of callers that reach ${hostCount} hosts at random, below a rate of ${rate}`, () => {
			const runs = Array.from({length: 12}, (_, seed) => simulateSparseFleet({
				rate, hostCount, seed: 7919 * (seed + 1), perSecond: rate / 1.6,
			}));
			const refused = runs.reduce((sum, run) => sum + run.refused, 0);
			const asked = runs.reduce((sum, run) => sum + run.refused + run.taken.length, 0);
			expect(refused / asked).to.be.at.most(0.001);
		});
	}

	it('keeps every window within the bound when many hosts are overloaded', () => {
		const overload = fc.record({rate: fc.integer({min: 5, max: 60}), hostCount: fc.integer({min: 5, max: 90}), seed: fc.integer({min: 1, max: 1e6})});
		fc.assert(fc.property(overload, ({rate, hostCount, seed}) => {
			const {taken} = simulateSparseFleet({
				rate, hostCount, seed, perSecond: rate * 6,
			});
			const allowed = (((rate * 5) + rate) * 1.1) + 20;
			for (let start = 0; start < 9000; start += 250) {
				expect(taken.filter(now => now >= start && now < start + 5000).length).to.be.at.most(allowed);
			}
		}), {numRuns: 25});
	});

	it('never lets the sum of unexpired shares exceed the rate, whichever answers are lost', () => {
		const step = fc.record({
			host: fc.constantFrom(...hosts), demand: fc.integer({min: 0, max: 500}), isLost: fc.boolean(), pause: fc.integer({min: 0, max: 900}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			let state: RateAllocatorState = {...empty, startedAt: -10_000, handoverEndsAt: -6700};
			let now = 0;
			const held = new Map<string, {readonly rate: number; readonly until: number}>();
			for (const {host, demand, isLost, pause} of steps) {
				now += pause;
				const old = held.get(host);
				const holds = old !== undefined && old.until > now ? old.rate : 0;
				const claimed = claim(state, {
					host, demand, held: holds, now,
				});
				({state} = claimed);
				if (!isLost) {
					held.set(host, {rate: claimed.rate, until: now + 2700});
				}

				const at = now;
				const sum = [...held.values()].reduce((total, {rate, until}) => total + (until > at ? rate : 0), 0);
				expect(sum).to.be.at.most(100.000_001);
			}
		}));
	});
});
