import {assignRates} from './assign-rates.ts';
import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateHome} from './rate-home.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	/** Partition of the workspaces whose rates are shared out; see `findRatePartition`. */
	readonly partition: number;
	readonly incarnation: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which the fleet's rows are known. */
	readonly findFleetProof: () => Instant | undefined;
	readonly now: () => Instant;
};

/** What a host does as the home of the rates. */
type Home = {
	/** Whether the store names this process as the home. */
	readonly isHome: () => boolean;
	/** Answers the claims of a host if this one is the home. */
	readonly claimRates: FleetPeer['claimRates'];
	/** Registered hosts that have not claimed for long, if this host is the home. */
	readonly listSilentHosts: () => readonly string[];
};

/** Milliseconds for which shares hold: long enough to outlast a cut, short enough that a lost host's share comes back. */
const shareSpan = 2500;

/** Milliseconds by which the home takes a share to last longer than its holder does. */
const spanMargin = 300;

/** Milliseconds without a claim after which a host counts as silent. */
const hostSilence = 10_000;

/** Creates the part of a host that shares out the rates when the store names it as the home. */
export function createRateHome(options: Options): Home {
	const {
		self, partition, incarnation, bound, findFleet, now,
	} = options;
	let home: RateHome | undefined;

	const findRow = () => findFleet()?.rateHomes.get(partition);
	const isHome = () => findRow()?.holder === self && findRow()?.incarnation === incarnation;

	const hasHomeLease = () => {
		const proof = options.findFleetProof();
		return isHome() && proof !== undefined && findLeaseRemaining(proof, now()) > 0;
	};

	const claimRates: Home['claimRates'] = async ({host, epoch, claims}) => {
		const row = findRow();
		if (row === undefined || !hasHomeLease() || epoch !== row.epoch) {
			return 'notHome';
		}

		if (home?.epoch !== row.epoch) {
			home = {
				epoch: row.epoch, startedAt: now().steady, hosts: new Map(), heardAt: new Map(), pools: new Map(),
			};
		}

		const assigned = assignRates(home, {
			host,
			claims,
			limits: options.findLimits(),
			bound,
			registered: [...findFleet()?.hosts.keys() ?? []],
			span: shareSpan + spanMargin,
			unknownSpan: shareSpan + spanMargin,
			now: now().steady,
		});
		({home} = assigned);
		return {grants: assigned.grants, span: shareSpan};
	};

	return {
		isHome,
		claimRates,
		listSilentHosts() {
			const at = now().steady;
			const begun = home;
			if (begun === undefined || !hasHomeLease() || at - begun.startedAt < hostSilence) {
				return [];
			}

			return [...findFleet()?.hosts.keys() ?? []].filter(host => host !== self && at - (begun.heardAt.get(host) ?? begun.startedAt) > hostSilence);
		},
	};
}
