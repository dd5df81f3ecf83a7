import {expect} from 'chai';
import {createLocalShares} from './create-local-shares.ts';
import {findRatePartition} from './find-rate-partition.ts';
import type {Instant} from './instant.ts';

const workspace = 'upper';
const limits = {rate: 20, burst: 20};
const bound = {window: 5000, overage: 0.1, slack: 20};

/** Interval in milliseconds at which a host lists its claims. */
const claimIntervalMs = 800;

/** Simulates callers at a steady rate for 20 s, and counts the claims that the host sends. */
function countClaims({hostCount, demand, granted}: {readonly hostCount: number; readonly demand: number; readonly granted: number}): number {
	let at: Instant = {steady: 0, wall: 0};
	const shares = createLocalShares({
		partition: findRatePartition(workspace),
		bound,
		// With this many workspaces, no share is claimed before the first request.
		findLimits: () => new Map([[workspace, limits], ...Array.from({length: 200}, (_, index) => [`w${index}`, limits] as const)]),
		countHosts: () => hostCount,
		now: () => at,
	});
	let claimed = 0;
	let claimedAt = 0;
	const pause = 1000 / demand;
	for (let elapsed = 0; elapsed < 20_000; elapsed += pause) {
		at = {steady: elapsed, wall: elapsed};
		shares.takeOperation(workspace, limits, true);
		if (elapsed - claimedAt >= claimIntervalMs) {
			claimedAt = elapsed;
			const claims = shares.listClaims();
			claimed += claims.length;
			shares.recordClaimed(claims);
			if (claims.length > 0) {
				shares.applyGrants(new Map([[workspace, {rate: granted, units: 0}]]), {spanMs: 2500, requestedAt: at});
			}
		}
	}

	return claimed;
}

describe('createLocalShares, with steady callers for 20 s', () => {
	const cases = [
		{
			name: 'renews a share before it expires', hostCount: 3, demand: 4, granted: 5, least: 7, most: 25,
		},
		{
			name: 'does not repeat claims for a workspace that is allocated on demand', hostCount: 200, demand: 0.5, granted: 0, least: 1, most: 3,
		},
		{
			name: 'renews the share of a host with high demand among many hosts', hostCount: 200, demand: 8, granted: 10, least: 7, most: 25,
		},
	];
	for (const {name, least, most, ...options} of cases) {
		it(name, () => {
			expect(countClaims(options)).to.be.within(least, most);
		});
	}
});
