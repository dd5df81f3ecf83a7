import {setTimeout as sleep} from 'node:timers/promises';
import {applyGrant} from './apply-grant.ts';
import {findRateHomePlace} from './find-rate-home-place.ts';
import {createRateHome} from './create-rate-home.ts';
import {createShareState} from './create-share-state.ts';
import {findDemand} from './find-demand.ts';
import {findElapsed} from './find-elapsed.ts';
import {findHeldRate} from './find-held-rate.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HomeRow} from './home-row.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
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

/** Milliseconds that a share still holds when it is claimed again, though nothing has changed. */
const renewalSpan = 1300;

/** Share by which demand must have changed to be told. */
const demandChange = 0.2;

/** Milliseconds between two claims of a host. */
const claimInterval = 800;

/** Milliseconds between two claims while callers are being refused. */
const urgentInterval = 200;

/** Milliseconds without an answer of the home after which another host takes its place. */
const homeSilence = 1000;

/** Milliseconds by which each host waits longer than the one before it to take the home's place. */
const placeDelay = 300;

/** Milliseconds for which the fleet's rows count as recent enough to take the home's place. */
const proofLimit = 1500;

/** Operations that a host asks for when callers wait. */
const unitsWanted = 2;

/** Milliseconds that callers wait for the home's answer. */
const unitsTimeout = 60;

/** Milliseconds for which the home is not asked again when it had nothing left. */
const poolPause = 150;

/** Workspaces at most for which shares are held before callers ask. */
const expectedLimit = 200;

/** Creates a host's shares of the rates. */
export function createRateShares(options: Options): RateShares {
	const {self, incarnation, bound, now, log} = options;
	const shares = new Map<string, ShareState>();
	/** Demand that the home was told last, by workspace. */
	const claimedDemand = new Map<string, number>();
	/** Questions to the home that are under way, by workspace. */
	const asking = new Map<string, Promise<unknown>>();
	/** Until when the home is not asked for operations of a workspace, in steady milliseconds. */
	const poolEmptyUntil = new Map<string, number>();
	let fleet: FleetRows | undefined;
	let claimedAt = Number.NEGATIVE_INFINITY;
	let answeredAt = now().steady;
	let isClaiming = false;
	let hasRefused = false;

	const home = createRateHome({...options, findFleet: () => fleet});
	const {isHome, claimRates} = home;

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
		return {
			workspace, demand: findDemand(share, now()), held: held.rate, heldFor: held.left, needed: 0,
		};
	});

	const applyGrants = (grants: ReadonlyMap<string, RateGrant>, {span, askedAt}: {readonly span: number; readonly askedAt: Instant}) => {
		for (const [workspace, grant] of grants) {
			const share = shares.get(workspace);
			if (share !== undefined) {
				shares.set(workspace, applyGrant(share, {
					...grant, span, askedAt, now: now().steady,
				}));
			}
		}
	};

	/** Asks the home for shares; false when it does not answer. */
	const ask = async (row: HomeRow, claims: readonly RateClaim[]): Promise<boolean> => {
		const askedAt = now();
		const message = {
			host: self, incarnation, epoch: row.epoch, claims,
		};
		const granted = isHome() ? await claimRates(message) : await options.findPeer(row.holder)?.claimRates(message);
		if (granted === undefined || granted === 'notHome') {
			return false;
		}

		answeredAt = now().steady;
		applyGrants(granted.grants, {span: granted.span, askedAt});
		return true;
	};

	const logRefusal = (workspace: string, limits: WorkspaceLimits) => {
		const share = shares.get(workspace);
		log.debug({
			workspace,
			...limits,
			held: share && findHeldRate(share, now()),
			saved: share?.level,
			demand: share && findDemand(share, now()),
			home: fleet?.rateHome?.holder,
			isPoolEmpty: (poolEmptyUntil.get(workspace) ?? 0) > now().steady,
		}, 'rates: An operation is refused.');
	};

	const claim = async (row: HomeRow) => {
		isClaiming = true;
		claimedAt = now().steady;
		addExpected();
		const claims = createClaims().filter(claimed => isWorthClaiming(claimed, claimedDemand.get(claimed.workspace)));
		if (await ask(row, claims)) {
			hasRefused = false;
			for (const {workspace, demand} of claims) {
				claimedDemand.set(workspace, demand);
			}
		}

		isClaiming = false;
	};

	const take = (workspace: string, limits: WorkspaceLimits, isFirst: boolean) => {
		const {share, isTaken, retryAfter} = takeOperation(shares.get(workspace), {
			limits, bound, hostCount: Math.max(1, fleet?.hosts.size ?? 1), now: now(), isFirst,
		});
		shares.set(workspace, share);
		return {isTaken, retryAfter};
	};

	/** Asks the home for operations for callers who wait, once at a time for a workspace. */
	const askForUnits = async (workspace: string): Promise<void> => {
		const row = fleet?.rateHome;
		const emptyUntil = poolEmptyUntil.get(workspace) ?? 0;
		if (row === undefined || emptyUntil > now().steady) {
			return;
		}

		const under = asking.get(workspace);
		if (under !== undefined) {
			await under;
			return;
		}

		const claims = createClaims().filter(claimed => claimed.workspace === workspace).map(claimed => ({...claimed, needed: unitsWanted}));
		const asked = Promise.race([ask(row, claims), sleep(unitsTimeout)]);
		asking.set(workspace, asked);
		await asked;
		asking.delete(workspace);
		if ((shares.get(workspace)?.level ?? 0) < 1) {
			poolEmptyUntil.set(workspace, now().steady + poolPause);
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
		async takeOperation(workspace) {
			const limits = options.findLimits().get(workspace);
			if (limits === undefined) {
				return {isTaken: true, retryAfter: 0};
			}

			const first = take(workspace, limits, true);
			if (first.isTaken) {
				return first;
			}

			await askForUnits(workspace);
			const second = take(workspace, limits, false);
			if (!second.isTaken) {
				hasRefused = true;
				logRefusal(workspace, limits);
			}

			return second;
		},
		claimRates,
		listSilentHosts: home.listSilentHosts,
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
			const isSilent = at - answeredAt > homeSilence + (place * placeDelay) && findElapsed(proof, now()) < proofLimit;
			if (isRestarted || (row === undefined && place === 0) || (isSilent && row?.holder !== self)) {
				void takePlace(row);
			} else if (row !== undefined && at - claimedAt > (hasRefused ? urgentInterval : claimInterval)) {
				void claim(row);
			}
		},
	};
}

/** Whether a claim tells the home something new, or keeps a share from lapsing. */
function isWorthClaiming({demand, heldFor}: RateClaim, told: number | undefined): boolean {
	return told === undefined || heldFor < renewalSpan || Math.abs(demand - told) > (demandChange * told) + 0.5;
}
