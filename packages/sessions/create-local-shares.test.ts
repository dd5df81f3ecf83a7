import {expect} from 'chai';
import {createLocalShares} from './create-local-shares.ts';
import {findRatePartition} from './find-rate-partition.ts';
import type {Instant} from './instant.ts';

const workspace = 'upper';
const limits = {rate: 20, burst: 20};
const bound = {window: 5000, overage: 0.1, slack: 20};

/** Milliseconds between two looks at what is to be claimed, as the host has them. */
const claimInterval = 800;

/** Lets callers ask at a steady rate for some seconds, and counts the claims of the host. */
function countClaims({hostCount, demand, granted}: {readonly hostCount: number; readonly demand: number; readonly granted: number}): number {
	let at: Instant = {steady: 0, wall: 0};
	const book = createLocalShares({
		partition: findRatePartition(workspace),
		bound,
		// So many workspaces that none is claimed before its callers ask.
		findLimits: () => new Map([[workspace, limits], ...Array.from({length: 200}, (_, index) => [`w${index}`, limits] as const)]),
		countHosts: () => hostCount,
		now: () => at,
	});
	let claimed = 0;
	let claimedAt = 0;
	const pause = 1000 / demand;
	for (let elapsed = 0; elapsed < 20_000; elapsed += pause) {
		at = {steady: elapsed, wall: elapsed};
		book.takeOperation(workspace, limits, true);
		if (elapsed - claimedAt >= claimInterval) {
			claimedAt = elapsed;
			const claims = book.listClaims();
			claimed += claims.length;
			book.recordClaimed(claims);
			if (claims.length > 0) {
				book.applyGrants(new Map([[workspace, {rate: granted, units: 0}]]), {span: 2500, askedAt: at});
			}
		}
	}

	return claimed;
}

describe('createLocalShares, with steady callers for 20 s', () => {
	const cases = [
		{
			name: 'renews a share before it lapses', hostCount: 3, demand: 4, granted: 5, least: 7, most: 25,
		},
		{
			name: 'claims nothing over and over where it asks for each operation', hostCount: 200, demand: 0.5, granted: 0, least: 1, most: 3,
		},
		{
			name: 'renews the share of much demand among many hosts', hostCount: 200, demand: 8, granted: 10, least: 7, most: 25,
		},
	];
	for (const {name, least, most, ...options} of cases) {
		it(name, () => {
			expect(countClaims(options)).to.be.within(least, most);
		});
	}
});
