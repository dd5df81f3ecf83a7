import {
	findHome, lendStandbyUnits, type HostState, type StandbyLoan,
} from '@sapphirefall/decisions';
import type {HostFile} from '@sapphirefall/settings';
import {driftMargin} from './drift-margin.ts';
import type {FindPeer} from './find-peer.ts';
import type {StandbyLoans} from './standby-loans.ts';

type Options = {
	/** Identifies this process; a restarted host is another one. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/**
 * Creates the standby loans of this host.
 *
 * The home host has taken the units of a standby loan off its bucket, so they may be lent without a recent confirmation
 * of the roster. Each renewal returns the rest of the previous loan.
 */
export function createStandbyLoans(options: Options): StandbyLoans {
	const {now, settings} = options;
	const loans = new Map<string, StandbyLoan>();
	let lastId = 0;

	const renew = async (workspace: string) => {
		const home = options.findPeer(findHome(workspace, options.readState().roster.homes) ?? '');
		const known = loans.get(workspace);
		const settled = known === undefined ? [] : [{id: known.id, used: 0, returned: known.units}];
		loans.delete(workspace);
		lastId++;
		const id = lastId;
		const requestedAt = now();
		try {
			const granted = await home?.borrow({
				host: `${options.owner}/standby`, id, workspace, needed: 0, wanted: 0, isStandby: true, settled,
			});
			if (granted !== undefined) {
				loans.set(workspace, {id, units: granted.units, expiresAt: requestedAt + granted.validMs});
			}
		} catch {
			// The home host may count the returned units as used; it requests the next renewal if it is alive.
		}
	};

	return {
		renew(workspace) {
			void renew(workspace);
		},
		lend(request) {
			const loan = loans.get(request.workspace);
			if (loan === undefined || request.isStandby) {
				return undefined;
			}

			const lent = lendStandbyUnits(loan, {
				...request, maxValidMs: settings.loanSpan, driftMargin, now: now(),
			});
			loans.set(request.workspace, lent.loan);
			// A standby loan with too few units tells nothing about the rate: only the home host knows when units are due.
			return lent.units > 0 ? {units: lent.units, validMs: lent.validMs, retryAfter: 0} : undefined;
		},
	};
}
