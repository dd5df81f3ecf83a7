import {expect} from 'chai';
import {createPermitKey} from './cold-instances/create-permit-key.ts';
import {createRateAllocator} from './create-rate-allocator.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {FleetRows} from './fleet-rows.ts';

type Previous = Parameters<ReturnType<typeof createRateAllocator>['expectLease']>[0]['previous'];

/** Creates the allocator on host `a1`; hosts of zones `b` and `c` are registered too, but never claim. */
function createAllocator(previous: Previous, era = 1) {
	let at = 1000;
	const fleet: FleetRows = {
		hosts: new Map(['a1', 'b1', 'c1'].map(name => [name, {
			name, zone: name.slice(0, 1), address: '', incarnation: 1, version: 1,
		}])),
		goneHosts: new Map(),
		groups: new Map(),
		rateAllocators: new Map([[0, {
			holder: 'a1', incarnation: 1, epoch: 2, version: encodeStoreVersion({era, counter: 5}),
		}]]),
		era,
		failoverLock: undefined,
	};
	const allocator = createRateAllocator({
		self: 'a1',
		partition: 0,
		incarnation: 1,
		bound: {window: 5000, overage: 0.1, slack: 20},
		findLimits: () => new Map([['upper', {rate: 100, burst: 100}]]),
		warmup: {findLimits: () => new Map([['pondbook', {rate: 10, span: 5000}]]), bound: {overage: 1.5, slack: 5}},
		findFleet: () => fleet,
		findFleetConfirmedAt: () => ({steady: at, wall: at}),
		now: () => ({steady: at, wall: at}),
	});
	allocator.expectLease({epoch: 2, previous});
	return {
		/** Claims permits for an instance at a time and returns how many are lent. */
		async claimPermits(now: number, needed: number) {
			at = now;
			const key = createPermitKey({group: 'pondbook', id: 'i-a'});
			const granted = await allocator.claimRates({
				host: 'a1', incarnation: 1, partition: 0, epoch: 2, claims: [{
					workspace: key, demand: 0, held: 0, heldFor: 0, needed,
				}],
			});
			return granted === undefined || granted === 'notAllocator' ? Number.NaN : granted.grants.get(key)?.units ?? 0;
		},
		/** Claims a share at a time and returns the rate that is granted. */
		async claim(now: number) {
			at = now;
			const granted = await allocator.claimRates({
				host: 'a1', incarnation: 1, partition: 0, epoch: 2, claims: [{
					workspace: 'upper', demand: 40, held: 0, heldFor: 0, needed: 0,
				}],
			});
			return granted === undefined || granted === 'notAllocator' ? Number.NaN : granted.grants.get('upper')?.rate ?? 0;
		},
	};
}

describe('createRateAllocator, while other hosts do not claim', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly previous: Previous; readonly blockedAt: number; readonly grantedAt: number}> = [
		{
			name: 'waits for shares that its own earlier process may have granted, from the start of this one', previous: {kind: 'ownProcess', endedBefore: 500}, blockedAt: 3200, grantedAt: 3400,
		},
		{
			name: 'waits as well for the lease of another host, which may go on granting while it is cut off', previous: {kind: 'otherHost'}, blockedAt: 4900, grantedAt: 5100,
		},
	];
	for (const {name, previous, blockedAt, grantedAt} of cases) {
		it(name, async () => {
			const {claim} = createAllocator(previous);
			expect(await claim(1000)).to.equal(0);
			expect(await claim(blockedAt)).to.equal(0);
			expect(await claim(grantedAt)).to.be.above(40);
		});
	}
});

describe('createRateAllocator, when the store comes back from an older copy', () => {
	// Guards against rates being granted twice: another host may have held the lease in the lost seconds, and its shares still count.
	it('grants nothing on a lease of an earlier era', async () => {
		const {claim} = createAllocator({kind: 'ownProcess', endedBefore: 500}, 2);
		expect(await claim(60_000)).to.be.NaN; // eslint-disable-line @typescript-eslint/no-unused-expressions -- chai's property
	});
});

describe('createRateAllocator, when an instance is back without anything in its caches', () => {
	it('lends nothing while another host may still lend on the lease before, and then with an empty bucket', async () => {
		const {claimPermits} = createAllocator({kind: 'otherHost'});
		expect(await claimPermits(1000, 5)).to.equal(0);
		expect(await claimPermits(2200, 5)).to.equal(0);
		expect(await claimPermits(2310, 5)).to.equal(1);
	});

	// The holder before the earlier process may be cut off and still lend, if that process held the lease for a moment only.
	it('lends nothing either while a host may lend that held the lease before its own earlier process', async () => {
		const {claimPermits} = createAllocator({kind: 'ownProcess', endedBefore: 1000});
		expect(await claimPermits(2200, 5)).to.equal(0);
		expect(await claimPermits(2310, 5)).to.equal(1);
	});

	it('lends what the bound allows, and not what was lent before', async () => {
		const {claimPermits} = createAllocator({kind: 'ownProcess', endedBefore: 0});
		expect(await claimPermits(5000, 3)).to.equal(3);
		expect(await claimPermits(5000, 3)).to.equal(2);
		expect(await claimPermits(5000, 3)).to.equal(0);
		expect(await claimPermits(5101, 3)).to.equal(1);
	});
});
