import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetPeer} from './fleet-peer.ts';
import type {Store} from './store.ts';
import {takeRateAllocatorLease} from './take-rate-allocator-lease.ts';

/** Milliseconds after which a call to a lost host is given up. */
const callTimeoutMs = 300;
const ignore = () => undefined;

/** Lets host `a1` take the lease of `c1` while some hosts are lost; returns whether it wrote, and after how many milliseconds. */
async function takeLease(lost: readonly string[]) {
	const startedAt = performance.now();
	let writtenAfter: number | undefined;
	const store = {
		async commit() {
			writtenAfter = performance.now() - startedAt;
			return {kind: 'done'};
		},
	} as unknown as Store;
	await takeRateAllocatorLease({
		holder: 'c1', incarnation: 1, epoch: 3, version: 7,
	}, {
		self: 'a1',
		incarnation: 1,
		partition: 0,
		epoch: 4,
		hosts: ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'],
		findPeer: host => ({
			async claimRates() {
				await sleep(lost.includes(host) ? callTimeoutMs : 1);
				return lost.includes(host) ? undefined : 'notAllocator';
			},
		}) as unknown as FleetPeer,
		store,
		log: {debug: ignore, info: ignore, warn: ignore},
	});
	return {hasWritten: writtenAfter !== undefined, isEarly: (writtenAfter ?? Number.POSITIVE_INFINITY) < callTimeoutMs / 2};
}

describe(takeRateAllocatorLease.name, () => {
	const cases = [
		{
			name: 'does not wait for the hosts of a zone that went silent with the allocator', lost: ['c1', 'c2'], expected: {hasWritten: true, isEarly: true},
		},
		{
			name: 'writes nothing on a host that reaches fewer than half of the others', lost: ['a2', 'b1', 'b2'], expected: {hasWritten: false, isEarly: false},
		},
	];
	for (const {name, lost, expected} of cases) {
		it(name, async () => {
			expect(await takeLease(lost)).to.deep.equal(expected);
		});
	}
});
