import {setTimeout as sleep} from 'node:timers/promises';
import type {createAllocatorContact} from './create-allocator-contact.ts';
import type {createLocalShares} from './create-local-shares.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {Instant} from './instant.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {RateClaim} from './rate-claim.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	/** Partition of the workspaces whose rates are claimed. */
	readonly partition: number;
	readonly incarnation: number;
	/** Finds the present lease of the partition's rate allocator. */
	readonly findRow: () => RateAllocatorRow | undefined;
	/** Finds the rate allocator on a host, which may be this one; undefined if there is no way to call it. */
	readonly findAllocator: (holder: string) => Pick<FleetPeer, 'claimRates'> | undefined;
	readonly contact: Pick<ReturnType<typeof createAllocatorContact>, 'hasAnswered' | 'recordAnswer' | 'recordSilence' | 'recordSign'>;
	readonly shares: Pick<ReturnType<typeof createLocalShares>, 'listClaims' | 'clearClaimed' | 'applyGrants' | 'recordClaimed'>;
	readonly now: () => Instant;
};

/**
 * Sends claims to the holder of a lease and applies its grants; resolves to false if it does not answer, within `timeoutMs`
 * milliseconds if given, or has lost the lease.
 */
type RateClaimSender = (row: RateAllocatorRow, request: {readonly claims: readonly RateClaim[]; readonly timeoutMs?: number}) => Promise<boolean>;

/**
 * Creates the sender of a host's claims to a rate allocator. The first claims of an epoch cover all shares of the host,
 * since the allocator takes what it is not told for unassigned.
 */
export function createRateClaimSender({
	self, partition, incarnation, findRow, findAllocator, contact, shares, now,
}: Options): RateClaimSender {
	/** Records that an allocator whose answer comes too late is only slow. Its grants are dropped, because callers have given up. */
	const recordLateAnswer = async (epoch: number, answer: ReturnType<FleetPeer['claimRates']> | undefined) => {
		const late = await answer;
		if (late !== undefined && late !== 'notAllocator') {
			contact.recordSign(epoch);
		}
	};

	/** Lists the claims of all other shares of this host. */
	const listOtherClaims = (claimed: readonly RateClaim[]) => {
		shares.clearClaimed();
		return shares.listClaims().filter(({workspace}) => claimed.every(claim => claim.workspace !== workspace));
	};

	return async ({holder, epoch}, {claims: claimed, timeoutMs}) => {
		const requestedAt = now();
		const claims = contact.hasAnswered() ? claimed : [...claimed, ...listOtherClaims(claimed)];
		const answer = findAllocator(holder)?.claimRates({
			host: self, incarnation, partition, epoch, claims,
		});
		const granted = await (timeoutMs === undefined ? answer : Promise.race([answer, sleep(timeoutMs, undefined)]));
		if (epoch !== findRow()?.epoch) {
			return false;
		}

		if (granted === undefined || granted === 'notAllocator') {
			contact.recordSilence(requestedAt.steady);
			void recordLateAnswer(epoch, answer);
			return false;
		}

		contact.recordAnswer({epoch, isSettled: granted.isSettled}, now().steady);
		shares.applyGrants(granted.grants, {spanMs: granted.spanMs, requestedAt});
		shares.recordClaimed(claims);
		return true;
	};
}
