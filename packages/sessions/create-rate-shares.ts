import {setTimeout as sleep} from 'node:timers/promises';
import {rankHosts} from '@sapphirefall/decisions';
import {applyGrant} from './apply-grant.ts';
import {findRatePartition} from './find-rate-partition.ts';
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
import {settleSpan} from './settle-span.ts';
import {takeOperation} from './take-operation.ts';
import type {Versioned} from './versioned.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	/** Partition of the workspaces whose shares these are. */
	readonly partition: number;
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

/** Milliseconds that callers wait for the home's answer. */
const unitsTimeout = 120;

/** Milliseconds for which the home is not asked again when it had nothing left. */
const poolPause = 60;

/** Claims of all hosts at most, one for each workspace and host, for which shares are held before callers ask. */
const expectedLimit = 200;

/** Operations a second; a share with less demand is forgotten once it has lapsed. */
const leastDemand = 0.05;

/** Milliseconds between two claims at the least that show the home that a host lives. */
const lifeInterval = 2000;

/** Place after which hosts wait no longer before they take a lost home's place. */
const lastPlace = 4;

/** Hosts that are asked at most whether they can be reached. */
const reachSample = 12;

/** Creates a host's shares of the rates of one partition of the workspaces. */
export function createRateShares(options: Options): RateShares {
	const {
		self, partition, incarnation, bound, now, log,
	} = options;
	const shares = new Map<string, ShareState>();
	/** Demand that the home was told last, by workspace. */
	const claimedDemand = new Map<string, number>();
	/** Questions to the home that are under way, and callers who wait for the next one, by workspace. */
	const asking = new Map<string, Promise<unknown>>();
	const waiting = new Map<string, number>();
	/** Until when the home is not asked for operations of a workspace, in steady milliseconds. */
	const poolEmptyUntil = new Map<string, number>();
	let fleet: FleetRows | undefined;
	const startedAt = now().steady;
	let claimedAt = Number.NEGATIVE_INFINITY;
	/** Epoch of the home that answered last. */
	let answeredEpoch = 0;
	/** Since when the home has not answered claims, in steady milliseconds. */
	let unansweredSince: number | undefined;
	/** When a claim was last answered, in steady milliseconds. */
	let shownAt = Number.NEGATIVE_INFINITY;
	let isClaiming = false;
	let hasRefused = false;

	const home = createRateHome({...options, findFleet: () => fleet});
	const {isHome, claimRates} = home;

	const findRow = () => fleet?.rateHomes.get(partition);

	/** Whether shares are held before the first callers come: only where that takes few claims. */
	const isExpecting = () => options.findLimits().size * (fleet?.hosts.size ?? 1) <= expectedLimit;

	const addExpected = () => {
		for (const workspace of isExpecting() ? options.findLimits().keys() : []) {
			if (!shares.has(workspace) && findRatePartition(workspace) === partition) {
				shares.set(workspace, createShareState(now()));
			}
		}
	};

	/** Forgets shares that nobody asks for any more; what they had saved up is lost. */
	const dropUnused = () => {
		for (const [workspace, share] of isExpecting() ? [] : shares) {
			if (findDemand(share, now()) < leastDemand && findHeldRate(share, now()).left === 0) {
				shares.delete(workspace);
				claimedDemand.delete(workspace);
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
	const ask = async (row: HomeRow, claims: readonly RateClaim[], timeout?: number): Promise<boolean> => {
		const askedAt = now();
		const message = {
			host: self, incarnation, partition, epoch: row.epoch, claims,
		};
		const answer = isHome() ? claimRates(message) : options.findPeer(row.holder)?.claimRates(message);
		const granted = await (timeout === undefined ? answer : Promise.race([answer, sleep(timeout, undefined)]));
		if (granted === undefined || granted === 'notHome') {
			unansweredSince ??= askedAt.steady;
			return false;
		}

		unansweredSince = undefined;
		answeredEpoch = row.epoch;
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
			home: findRow()?.holder,
			isPoolEmpty: (poolEmptyUntil.get(workspace) ?? 0) > now().steady,
		}, 'rates: An operation is refused.');
	};

	const claim = async (row: HomeRow) => {
		isClaiming = true;
		claimedAt = now().steady;
		addExpected();
		dropUnused();
		if (answeredEpoch !== row.epoch) {
			claimedDemand.clear();
		}

		const claims = createClaims().filter(claimed => isWorthClaiming(claimed, claimedDemand.get(claimed.workspace)));
		const mustShowLife = partition === 0 && now().steady - shownAt > lifeInterval;
		if (claims.length === 0 && answeredEpoch === row.epoch && !mustShowLife) {
			isClaiming = false;
			return;
		}

		if (await ask(row, claims)) {
			shownAt = now().steady;
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

	/** Asks the home for an operation for each caller who waits, once at a time for a workspace. */
	const askForUnits = async (workspace: string): Promise<void> => {
		const isEmpty = () => (poolEmptyUntil.get(workspace) ?? 0) > now().steady;
		if (findRow() === undefined || isEmpty()) {
			return;
		}

		waiting.set(workspace, (waiting.get(workspace) ?? 0) + 1);
		await asking.get(workspace);
		if (asking.has(workspace)) {
			await asking.get(workspace);
			return;
		}

		const needed = isEmpty() ? 0 : waiting.get(workspace) ?? 0;
		waiting.delete(workspace);
		const row = findRow();
		const claims = createClaims().filter(claimed => claimed.workspace === workspace).map(claimed => ({...claimed, needed}));
		if (row === undefined || needed === 0) {
			return;
		}

		const asked = ask(row, claims, unitsTimeout);
		asking.set(workspace, asked);
		await asked;
		asking.delete(workspace);
		if ((shares.get(workspace)?.level ?? 0) < 1) {
			poolEmptyUntil.set(workspace, now().steady + poolPause);
		}
	};

	/** Whether this host reaches more than half of the others, so that it would be of use as the home. */
	const reachesMost = async (): Promise<boolean> => {
		const others = rankHosts(`reach/${self}`, [...fleet?.hosts.keys() ?? []].filter(host => host !== self)).slice(0, reachSample);
		const answers = await Promise.all(others.map(async host => options.findPeer(host)?.claimRates({
			host: self, incarnation, partition, epoch: 0, claims: [],
		})));
		return answers.filter(answer => answer !== undefined).length * 2 >= others.length;
	};

	/** Takes the home's place in the store. */
	const takePlace = async (row: Versioned<HomeRow> | undefined) => {
		isClaiming = true;
		unansweredSince = undefined;
		if (row !== undefined && row.holder !== self && !await reachesMost()) {
			isClaiming = false;
			return;
		}

		const key = `${fleetKeys.rateHomePrefix}${partition}`;
		const next: HomeRow = {holder: self, incarnation, epoch: (row?.epoch ?? 0) + 1};
		const outcome = await options.store.commit({
			expected: new Map([[key, row?.version ?? 0]]),
			values: new Map([[key, JSON.stringify(next)]]),
		});
		log.info({
			partition, previous: row?.holder, epoch: next.epoch, outcome: outcome.kind,
		}, 'rates: This host offers to share out the rates.');
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
			const row = newer.rateHomes.get(partition);
			if (row?.epoch !== findRow()?.epoch) {
				log.info({partition, holder: row?.holder, epoch: row?.epoch}, 'rates: The store names the host that shares out the rates.');
				unansweredSince = undefined;
				// A new home gives little until it has heard of all hosts.
				claimedAt = Number.NEGATIVE_INFINITY;
			}

			fleet = newer;
		},
		step() {
			const proof = options.findFleetProof();
			if (fleet === undefined || proof === undefined || isClaiming || !fleet.hosts.has(self)) {
				return;
			}

			const row = findRow();
			const at = now().steady;
			const isRestarted = row?.holder === self && row.incarnation !== incarnation;
			const place = Math.min(lastPlace, findRateHomePlace({
				self, partition, hosts: [...fleet.hosts.keys()], lost: row?.holder,
			}));
			const vacantSince = row === undefined ? startedAt + settleSpan : unansweredSince;
			const patience = (row === undefined ? 0 : homeSilence) + (place * placeDelay);
			const isVacant = vacantSince !== undefined && at - vacantSince > patience && findElapsed(proof, now()) < proofLimit;
			if (isRestarted || (isVacant && row?.holder !== self)) {
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
