import {setTimeout as sleep} from 'node:timers/promises';
import {
	chooseReserveShare, createRefusal, findProvenAt, resultCodes, takeUnits,
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
	readonly now: () => number;
};

/** Milliseconds after the loss of a home within which the next one makes up for what was not served. */
const recoverySpan = 8000;

/**
 * Creates the gate that holds workspaces to their rates.
 *
 * A part of each rate lies with the workspace's home, which lends units for a short span. The rest is split
 * evenly over the roster, for when the home cannot be reached. Both parts hold only while this host can prove
 * that its roster is the newest, and a host that becomes a home waits until the one before it has stopped.
 */
export function createRateLimiter(options: Options): RateLimiter {
	const {self, settings, borrower, now} = options;
	const reserves = new Map<string, TokenBucket>();
	/** Until when requests of a workspace wait to their deadlines, since its home was lost. */
	const patientUntil = new Map<string, number>();

	const findLimit = (workspace: string) =>
		options.readState().configuration.workspaces[workspace] ?? {rate: 0, burst: 0};

	/** Spends from this host's even share, which a host that is cut off keeps for a while. */
	const spendReserve = (request: AdmittedRequest): boolean => {
		const state = options.readState();
		const at = now();
		const share = settings.reserve * chooseReserveShare(state.rosterHistory, {self, span: settings.reserveSpan, now: at});
		if (share === 0 || at - findProvenAt(state) > settings.reserveSpan) {
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
			const usual = Math.min(request.deadline, now() + settings.longestWait);
			let isFirst = true;
			for (;;) {
				if (borrower.spend(request, isFirst)) {
					return undefined;
				}

				isFirst = false;
				const {hasAnswer: isReached, retryAfter} = await borrower.borrow(request); // eslint-disable-line no-await-in-loop -- the answer decides
				if (borrower.spend(request, isFirst) || (retryAfter > 0 && spendReserve(request))) {
					return undefined;
				}

				if (!isReached) {
					patientUntil.set(request.workspace, now() + recoverySpan);
				}

				// A home that is not reached says nothing about the rate, and the bucket of the next one starts empty.
				const latest = now() < (patientUntil.get(request.workspace) ?? 0) ? request.deadline : usual;
				const pause = Math.max(1, retryAfter);
				if (now() + pause > latest) {
					return createRefusal(resultCodes.rateExceeded, {
						reason: isReached ? 'the workspace is above its rate' : 'the home of the workspace cannot be reached',
						retryAfter: pause,
					});
				}

				await sleep(pause); // eslint-disable-line no-await-in-loop -- the units are not there before
			}
		},
	};
}
