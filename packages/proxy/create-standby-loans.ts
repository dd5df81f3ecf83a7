import {
	findHome, lendStandbyUnits, type HostState, type StandbyLoan,
} from '@sapphirefall/decisions';
import type {HostFile} from '@sapphirefall/settings';
import {driftMargin} from './drift-margin.ts';
import type {FindPeer} from './find-peer.ts';
import type {StandbyLoans} from './standby-loans.ts';

type Options = {
	/** Names this process; another one after a restart. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	readonly now: () => number;
};

/** Milliseconds after which a borrower may ask again when the stock does not cover its need. */
const emptyRetry = 100;

/**
 * Creates the keeper of the stocks that this host holds as a standby.
 *
 * A stock is a loan from the home, which has taken it off the bucket; lending it on needs no proof of the roster.
 * Each renewal gives back what is left of the stock before.
 */
export function createStandbyLoans(options: Options): StandbyLoans {
	const {now, settings} = options;
	const stocks = new Map<string, StandbyLoan>();
	let lastId = 0;

	const renew = async (workspace: string) => {
		const home = options.findPeer(findHome(workspace, options.readState().roster.homes) ?? '');
		const known = stocks.get(workspace);
		const settled = known === undefined ? [] : [{id: known.id, used: 0, returned: known.units}];
		stocks.delete(workspace);
		lastId++;
		const id = lastId;
		const askedAt = now();
		try {
			const granted = await home?.borrow({
				host: `${options.owner}/standby`, id, workspace, needed: 0, wanted: 0, isStandby: true, settled,
			});
			if (granted !== undefined) {
				stocks.set(workspace, {id, units: granted.units, expiresAt: askedAt + granted.span});
			}
		} catch {
			// What was given back is lost, and the home asks again if it lives.
		}
	};

	return {
		renew(workspace) {
			void renew(workspace);
		},
		lend(asked) {
			const stock = stocks.get(asked.workspace);
			if (stock === undefined || asked.isStandby) {
				return undefined;
			}

			const lent = lendStandbyUnits(stock, {
				...asked, longestSpan: settings.loanSpan, driftMargin, now: now(),
			});
			stocks.set(asked.workspace, lent.loan);
			return {units: lent.units, span: lent.span, retryAfter: lent.units > 0 ? 0 : emptyRetry};
		},
	};
}
