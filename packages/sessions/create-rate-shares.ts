import {applyGrant} from './apply-grant.ts';
import {assignRates} from './assign-rates.ts';
import {findRateHomePlace} from './find-rate-home-place.ts';
import {createShareState} from './create-share-state.ts';
import {findElapsed} from './find-elapsed.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findLeaseLeft} from './find-lease-left.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HomeRow} from './home-row.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateHome} from './rate-home.ts';
import type {RateShares} from './rate-shares.ts';
import type {SessionLog} from './session-log.ts';
import type {ShareState} from './share-state.ts';
import type {Store} from './store.ts';
import {takeOperation} from './take-operation.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	readonly incarnation: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Moment as of which the fleet's rows are known. */
	readonly findFleetProof: () => Instant | undefined;
	readonly store: Store;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds for which shares hold: long enough to outlast a cut, short enough that a lost host's share comes back. */
const shareSpan = 3000;

/** Milliseconds by which the home takes a share to last longer than its holder does. */
const spanMargin = 300;

/** Milliseconds between two claims of a host. */
const claimInterval = 700;

/** Milliseconds between two claims while callers are being refused. */
const urgentInterval = 200;

/** Milliseconds without an answer of the home after which another host takes its place. */
const homeSilence = 1500;

/** Milliseconds without a claim after which a host counts as silent. */
const hostSilence = 10_000;

/** Workspaces at most for which shares are held before callers ask. */
const expectedLimit = 200;

/** Creates a host's shares of the rates. */
export function createRateShares(options: Options): RateShares {
	const {self, incarnation, bound, now, log} = options;
	const shares = new Map<string, ShareState>();
	let fleet: FleetRows | undefined;
	let home: RateHome | undefined;
	let claimedAt = Number.NEGATIVE_INFINITY;
	let answeredAt = now().steady;
	let isClaiming = false;
	let hasRefused = false;

	const isHome = () => fleet?.rateHome?.holder === self && fleet.rateHome.incarnation === incarnation;

	const hasHomeLease = () => {
		const proof = options.findFleetProof();
		return isHome() && proof !== undefined && findLeaseLeft(proof, now()) > 0;
	};

	const claimRates: RateShares['claimRates'] = async ({host, epoch, claims}) => {
		const row = fleet?.rateHome;
		if (row === undefined || !hasHomeLease() || epoch !== row.epoch) {
			return 'notHome';
		}

		if (home?.epoch !== row.epoch) {
			home = {epoch: row.epoch, startedAt: now().steady, hosts: new Map(), heardAt: new Map()};
		}

		const allotted = assignRates(home, {
			host,
			claims,
			limits: options.findLimits(),
			registered: [...fleet?.hosts.keys() ?? []],
			span: shareSpan + spanMargin,
			unknownSpan: shareSpan + spanMargin,
			now: now().steady,
		});
		({home} = allotted);
		return {rates: allotted.rates, span: shareSpan};
	};

	/** Holds shares before the first callers come, as long as there are not too many workspaces for that. */
	const addExpected = () => {
		const limits = options.findLimits();
		for (const workspace of limits.size <= expectedLimit ? limits.keys() : []) {
			if (!shares.has(workspace)) {
				shares.set(workspace, createShareState(now()));
			}
		}
	};

	const createClaims = (): readonly RateClaim[] => [...shares].map(([workspace, share]) => {
		const held = findHeldRate(share, now());
		const faded = share.demand * Math.exp(-(now().steady - share.demandAt) / 1500);
		return {
			workspace, demand: faded, held: held.rate, heldFor: held.left,
		};
	});

	const applyRates = (rates: ReadonlyMap<string, number>, {span, askedAt}: {readonly span: number; readonly askedAt: Instant}) => {
		for (const [workspace, rate] of rates) {
			const share = shares.get(workspace);
			if (share !== undefined) {
				shares.set(workspace, applyGrant(share, {
					rate, span, askedAt, now: now().steady,
				}));
			}
		}
	};

	const claim = async (row: HomeRow) => {
		isClaiming = true;
		claimedAt = now().steady;
		const askedAt = now();
		addExpected();
		const message = {
			host: self, incarnation, epoch: row.epoch, claims: createClaims(),
		};
		const granted = isHome() ? await claimRates(message) : await options.findPeer(row.holder)?.claimRates(message);
		isClaiming = false;
		if (granted !== undefined && granted !== 'notHome') {
			answeredAt = now().steady;
			hasRefused = false;
			applyRates(granted.rates, {span: granted.span, askedAt});
		}
	};

	/** Whether this host reaches more than half of the others, so that it would be of use as the home. */
	const reachesMost = async (): Promise<boolean> => {
		const others = [...fleet?.hosts.keys() ?? []].filter(host => host !== self);
		const answers = await Promise.all(others.map(async host => options.findPeer(host)?.claimRates({
			host: self, incarnation, epoch: 0, claims: [],
		})));
		return answers.filter(answer => answer !== undefined).length * 2 >= others.length;
	};

	/** Takes the home's place in the store. */
	const takePlace = async (row: FleetRows['rateHome']) => {
		isClaiming = true;
		answeredAt = now().steady;
		if (row !== undefined && row.holder !== self && !await reachesMost()) {
			isClaiming = false;
			return;
		}

		const next: HomeRow = {holder: self, incarnation, epoch: (row?.epoch ?? 0) + 1};
		const outcome = await options.store.commit({
			expected: new Map([[fleetKeys.rateHome, row?.version ?? 0]]),
			values: new Map([[fleetKeys.rateHome, JSON.stringify(next)]]),
		});
		log.info({previous: row?.holder, epoch: next.epoch, outcome: outcome.kind}, 'rates: This host offers to share out the rates.');
		isClaiming = false;
	};

	return {
		takeOperation(workspace) {
			const limits = options.findLimits().get(workspace);
			if (limits === undefined) {
				return {isTaken: true, retryAfter: 0};
			}

			const {share, isTaken, retryAfter} = takeOperation(shares.get(workspace), {
				limits, bound, hostCount: Math.max(1, fleet?.hosts.size ?? 1), now: now(),
			});
			const isNew = !shares.has(workspace);
			shares.set(workspace, share);
			hasRefused ||= !isTaken || isNew;
			return {isTaken, retryAfter};
		},
		claimRates,
		listSilentHosts() {
			const at = now().steady;
			const begun = home;
			if (begun === undefined || !hasHomeLease() || at - begun.startedAt < hostSilence) {
				return [];
			}

			return [...fleet?.hosts.keys() ?? []].filter(host => host !== self && at - (begun.heardAt.get(host) ?? begun.startedAt) > hostSilence);
		},
		updateFleet(newer) {
			if (newer.rateHome?.epoch !== fleet?.rateHome?.epoch) {
				log.info({holder: newer.rateHome?.holder, epoch: newer.rateHome?.epoch}, 'rates: The store names the host that shares out the rates.');
				answeredAt = now().steady;
			}

			fleet = newer;
		},
		step() {
			const proof = options.findFleetProof();
			if (fleet === undefined || proof === undefined || isClaiming || !fleet.hosts.has(self)) {
				return;
			}

			const row = fleet.rateHome;
			const at = now().steady;
			const isRestarted = row?.holder === self && row.incarnation !== incarnation;
			const place = findRateHomePlace({self, hosts: [...fleet.hosts.keys()], lost: row?.holder});
			const isSilent = at - answeredAt > homeSilence * (1 + place) && findElapsed(proof, now()) < homeSilence;
			if (isRestarted || (row === undefined && place === 0) || (isSilent && row?.holder !== self)) {
				void takePlace(row);
			} else if (row !== undefined && at - claimedAt > (hasRefused ? urgentInterval : claimInterval)) {
				void claim(row);
			}
		},
	};
}
