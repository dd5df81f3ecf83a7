/* eslint-disable no-await-in-loop -- attempts run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {createTokenQueue} from '../create-token-queue.ts';
import type {Instant} from '../instant.ts';
import type {RateClaim} from '../rate-claim.ts';
import type {RateGrant} from '../rate-grant.ts';
import {addPermits} from './add-permits.ts';
import type {Permit} from './permit.ts';
import {takePermit} from './take-permit.ts';

type Options = {
	/** Whether a rate allocator is known. */
	readonly hasAllocator: () => boolean;
	/** Sends a claim to the rate allocator; its grants are applied with `applyGrants` before this resolves. */
	readonly sendClaim: (claim: RateClaim) => Promise<unknown>;
	readonly now: () => Instant;
};

/** A host's permits for cold instances. */
type PermitTaker = {
	/** Takes a permit for the instance of a key; see `createPermitKey`. */
	readonly takePermit: (key: string, maxWaitMs: number) => Promise<Permit | undefined>;
	/** Adds what the rate allocator lent; grants of other claims are ignored. */
	readonly applyGrants: (grants: ReadonlyMap<string, RateGrant>, requestedAt: Instant) => void;
};

/** Milliseconds between two attempts of a statement that waits for a permit. */
const retryIntervalMs = 70;

/** Creates the taker of permits of a host; without a rate allocator that answers there are none. */
export function createPermitTaker({hasAllocator, sendClaim, now}: Options): PermitTaker {
	/** Permits by key; only keys for which permits are requested. */
	const held = new Map<string, readonly Permit[]>();

	const take = (key: string): Permit | undefined => {
		const {permits, permit} = takePermit(held.get(key) ?? [], now());
		if (permits.length === 0) {
			held.delete(key);
		} else {
			held.set(key, permits);
		}

		return permit;
	};

	const requests = createTokenQueue({
		hasAllocator,
		async requestTokens(key, needed) {
			await sendClaim({
				workspace: key, demand: 0, held: 0, heldFor: 0, needed,
			});
			return held.has(key);
		},
		now,
	});

	return {
		async takePermit(key, maxWaitMs) {
			const deadline = now().steady + maxWaitMs;
			for (;;) {
				await requests.wait(key);
				const permit = take(key);
				if (permit !== undefined || now().steady + retryIntervalMs > deadline) {
					return permit;
				}

				await sleep(retryIntervalMs);
			}
		},
		applyGrants(grants, requestedAt) {
			for (const [key, {units}] of grants) {
				if (key.startsWith('\n') && units > 0) {
					held.set(key, addPermits(held.get(key) ?? [], {units, requestedAt}));
				}
			}
		},
	};
}
