import {setTimeout as sleep} from 'node:timers/promises';
import type {createAllocatorContact} from './create-allocator-contact.ts';
import type {createLocalShares} from './create-local-shares.ts';
import type {createTokenQueue} from './create-token-queue.ts';
import {findDemand} from './find-demand.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findRateRefusal} from './find-rate-refusal.ts';
import type {Instant} from './instant.ts';
import type {RateLimiter} from './rate-limiter.ts';
import type {SessionLog} from './session-log.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	/** Finds the host that is the rate allocator. */
	readonly findAllocator: () => string | undefined;
	readonly contact: Pick<ReturnType<typeof createAllocatorContact>, 'findUnassignedTime'>;
	readonly shares: Pick<ReturnType<typeof createLocalShares>, 'takeOperation' | 'findShare'>;
	readonly tokens: ReturnType<typeof createTokenQueue>;
	/** Called when an operation is refused. */
	readonly onRefused: () => void;
	readonly now: () => Instant;
	readonly log: Pick<SessionLog, 'debug'>;
};

/** Milliseconds between two attempts of a caller that waits for an operation. */
const waitIntervalMs = 40;

/**
 * Creates the function that takes an operation for a caller: from the host's own share, or else from the allocator's pool;
 * the caller waits while rates that are not assigned are expected in time.
 */
export function createOperationTaker({
	findLimits, findAllocator, contact, shares, tokens, onRefused, now, log,
}: Options): RateLimiter['takeOperation'] {
	/** Number of callers that wait for an operation, by workspace. */
	const waiting = new Map<string, number>();

	const logRefusal = (workspace: string, {limits, reason}: {readonly limits: WorkspaceLimits; readonly reason: string}) => {
		const share = shares.findShare(workspace);
		log.debug({
			workspace,
			reason,
			...limits,
			held: share && findHeldRate(share, now()),
			saved: share?.tokens,
			demand: share && findDemand(share, now()),
			home: findAllocator(),
			isPoolEmpty: tokens.isPoolEmpty(workspace),
		}, 'rates: The host refused an operation because no tokens are left.');
	};

	/** Waits for the next attempt of a caller to take an operation. */
	const waitForNextAttempt = async (workspace: string) => {
		waiting.set(workspace, (waiting.get(workspace) ?? 0) + 1);
		await sleep(waitIntervalMs);
		waiting.set(workspace, (waiting.get(workspace) ?? 1) - 1);
	};

	return async (workspace, maxWaitMs) => {
		const limits = findLimits().get(workspace);
		if (limits === undefined || shares.takeOperation(workspace, limits, true).isTaken) {
			return {kind: 'taken'};
		}

		const deadline = now().steady + maxWaitMs;
		for (;;) {
			await tokens.wait(workspace); // eslint-disable-line no-await-in-loop -- attempts run one after another
			const {isTaken, retryAfter} = shares.takeOperation(workspace, limits, false);
			if (isTaken) {
				return {kind: 'taken'};
			}

			const refusal = findRateRefusal({
				unassignedFor: contact.findUnassignedTime(now().steady),
				dueAfter: retryAfter * ((waiting.get(workspace) ?? 0) + 1),
				remaining: deadline - now().steady - waitIntervalMs,
			});
			if (refusal !== undefined) {
				onRefused();
				logRefusal(workspace, {limits, reason: refusal.reason});
				return refusal;
			}

			await waitForNextAttempt(workspace); // eslint-disable-line no-await-in-loop -- attempts run one after another
		}
	};
}
