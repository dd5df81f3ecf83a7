import {setTimeout as sleep} from 'node:timers/promises';
import {
	chooseReserveShare, createRefusal, findConfirmedAt, resultCodes, takeUnits,
	type AdmittedRequest, type HostState, type TokenBucket,
} from '@sapphirefall/decisions';
import type {HostFile} from '@sapphirefall/settings';
import type {Borrower} from './borrower.ts';
import type {RateLimiter} from './rate-limiter.ts';

type Options = {
	readonly self: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly borrower: Borrower;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** Milliseconds after the loss of a home host within which the next one lends enough for the requests that wait. */
const homeRecoveryMs = 8000;

/**
 * Creates the rate limiter of this host.
 *
 * The workspace's home host lends units of one part of the rate for a short span. The rest, the reserve, is split evenly
 * over the hosts of the roster, for the time when the home host cannot be reached. A host uses either part only while
 * its roster was recently confirmed to be the newest, and a new home host waits until the previous one has stopped.
 */
export function createRateLimiter(options: Options): RateLimiter {
	const {self, settings, borrower, now} = options;
	const reserves = new Map<string, TokenBucket>();
	/** Monotonic milliseconds until which requests of a workspace wait to their deadlines, as its home host was lost. */
	const recoveringUntil = new Map<string, number>();

	const findLimit = (workspace: string) =>
		options.readState().configuration.workspaces.get(workspace) ?? {rate: 0, burst: 0};

	/** Spends from this host's even share of the reserve, which a partitioned host keeps using for `reserveSpan`. */
	const spendReserve = (request: AdmittedRequest): boolean => {
		const state = options.readState();
		const at = now();
		const share = settings.reserve * chooseReserveShare(state.rosterHistory, {self, spanMs: settings.reserveSpan, now: at});
		if (share === 0 || at - findConfirmedAt(state) > settings.reserveSpan) {
			return false;
		}

		const limit = findLimit(request.workspace);
		const taken = takeUnits(reserves.get(request.workspace), {
			cost: request.cost, rate: limit.rate * share, burst: limit.burst * share, now: at,
		});
		reserves.set(request.workspace, taken.bucket);
		return taken.isTaken;
	};

	return {
		async take(request) {
			const defaultWaitUntil = Math.min(request.deadline, now() + settings.longestWait);
			let isFirst = true;
			for (;;) {
				if (borrower.spend(request, isFirst)) {
					return undefined;
				}

				isFirst = false;
				const {hasAnswer, retryAfter} = await borrower.borrow(request); // eslint-disable-line no-await-in-loop -- each attempt depends on the one before
				if (borrower.spend(request, isFirst) || (retryAfter > 0 && spendReserve(request))) {
					return undefined;
				}

				if (!hasAnswer) {
					recoveringUntil.set(request.workspace, now() + homeRecoveryMs);
				}

				// A lost home host tells nothing about the rate, and the bucket of the next home host starts empty: requests wait
				// to their deadlines instead of being refused.
				const waitUntil = now() < (recoveringUntil.get(request.workspace) ?? 0) ? request.deadline : defaultWaitUntil;
				const delayMs = Math.max(1, retryAfter);
				if (now() + delayMs > waitUntil) {
					return createRefusal(resultCodes.rateExceeded, {
						reason: hasAnswer ? 'the workspace is above its rate' : 'the home of the workspace cannot be reached',
						retryAfter: delayMs,
					});
				}

				await sleep(delayMs); // eslint-disable-line no-await-in-loop -- the units are not available before
			}
		},
	};
}
