import {setTimeout as sleep} from 'node:timers/promises';
import {createRateHome} from './create-rate-home.ts';
import {createShareBook} from './create-share-book.ts';
import {createUnitQueue} from './create-unit-queue.ts';
import {findDemand} from './find-demand.ts';
import {findElapsed} from './find-elapsed.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findRateHomePlace} from './find-rate-home-place.ts';
import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HomeRow} from './home-row.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateShares} from './rate-shares.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import {takeRateHome} from './take-rate-home.ts';
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

/** Milliseconds between two claims of a host. */
const claimInterval = 800;

/** Milliseconds between two claims while callers are being refused. */
const urgentInterval = 200;

/** Milliseconds without an answer of the home after which another host takes its place. */
const homeSilence = 1000;

/** Milliseconds by which each host waits longer than the one before it to take the home's place. */
const placeDelay = 300;

/** Place after which hosts wait no longer before they take a lost home's place. */
const lastPlace = 4;

/** Milliseconds for which the fleet's rows count as recent enough to take the home's place. */
const proofLimit = 1500;

/** Milliseconds that callers wait for the home's answer. */
const unitsTimeout = 120;

/** Milliseconds between two claims at the least that show the home that a host lives. */
const lifeInterval = 3000;

/** Creates a host's shares of the rates of one partition of the workspaces. */
export function createRateShares(options: Options): RateShares {
	const {self, partition, incarnation, now, log} = options;
	let fleet: FleetRows | undefined;
	/** When the fleet's rows were first known, in steady milliseconds. */
	let knownSince: number | undefined;
	let claimedAt = Number.NEGATIVE_INFINITY;
	/** Epoch of the home that answered last. */
	let answeredEpoch = 0;
	/** Since when the home has not answered claims, in steady milliseconds. */
	let unansweredSince: number | undefined;
	/** When a claim was last answered, in steady milliseconds. */
	let shownAt = Number.NEGATIVE_INFINITY;
	let isBusy = false;
	let hasRefused = false;

	const book = createShareBook({...options, countHosts: () => Math.max(1, fleet?.hosts.size ?? 1)});
	const home = createRateHome({...options, findFleet: () => fleet});
	const findRow = () => fleet?.rateHomes.get(partition);

	/** Asks the home for shares; false when it does not answer. */
	const ask = async (row: HomeRow, claims: readonly RateClaim[], timeout?: number): Promise<boolean> => {
		const askedAt = now();
		const message = {
			host: self, incarnation, partition, epoch: row.epoch, claims,
		};
		const answer = home.isHome() ? home.claimRates(message) : options.findPeer(row.holder)?.claimRates(message);
		const granted = await (timeout === undefined ? answer : Promise.race([answer, sleep(timeout, undefined)]));
		if (granted === undefined || granted === 'notHome') {
			unansweredSince ??= askedAt.steady;
			return false;
		}

		unansweredSince = undefined;
		answeredEpoch = row.epoch;
		book.applyGrants(granted.grants, {span: granted.span, askedAt});
		return true;
	};

	const units = createUnitQueue({
		hasHome: () => findRow() !== undefined,
		async ask(workspace, needed) {
			const row = findRow();
			const claim = book.createClaim(workspace, needed);
			if (row !== undefined && claim !== undefined) {
				await ask(row, [claim], unitsTimeout);
			}

			return (book.findShare(workspace)?.level ?? 0) >= 1;
		},
		now,
	});

	const claim = async (row: HomeRow) => {
		claimedAt = now().steady;
		if (answeredEpoch !== row.epoch) {
			book.forgetClaimed();
		}

		const claims = book.listClaims();
		const mustShowLife = partition === 0 && now().steady - shownAt > lifeInterval;
		if (claims.length === 0 && answeredEpoch === row.epoch && !mustShowLife) {
			return;
		}

		if (await ask(row, claims)) {
			shownAt = now().steady;
			hasRefused = false;
			book.noteClaimed(claims);
		}
	};

	const takePlace = async (row: Versioned<HomeRow> | undefined) => {
		unansweredSince = undefined;
		await takeRateHome(row, {...options, hosts: [...fleet?.hosts.keys() ?? []]});
	};

	/** Runs one task at a time. */
	const runAlone = async (task: Promise<void>) => {
		isBusy = true;
		try {
			await task;
		} finally {
			isBusy = false;
		}
	};

	/** Whether it is this host's turn to take a place that is empty or whose holder is silent. */
	const isVacant = (row: HomeRow | undefined, rows: FleetRows): boolean => {
		const proof = options.findFleetProof();
		const since = row === undefined ? knownSince : unansweredSince;
		if (since === undefined || proof === undefined || findElapsed(proof, now()) >= proofLimit || row?.holder === self) {
			return false;
		}

		const place = Math.min(lastPlace, findRateHomePlace({
			self, partition, hosts: [...rows.hosts.keys()], lost: row?.holder,
		}));
		return now().steady - since > (row === undefined ? place * bootstrapStaggerMs : homeSilence + (place * placeDelay));
	};

	const logRefusal = (workspace: string, limits: WorkspaceLimits) => {
		const share = book.findShare(workspace);
		log.debug({
			workspace,
			...limits,
			held: share && findHeldRate(share, now()),
			saved: share?.level,
			demand: share && findDemand(share, now()),
			home: findRow()?.holder,
			isPoolEmpty: units.isPoolEmpty(workspace),
		}, 'rates: An operation is refused.');
	};

	return {
		async takeOperation(workspace) {
			const limits = options.findLimits().get(workspace);
			if (limits === undefined) {
				return {isTaken: true, retryAfter: 0};
			}

			const first = book.take(workspace, limits, true);
			if (first.isTaken) {
				return first;
			}

			await units.wait(workspace);
			const second = book.take(workspace, limits, false);
			if (!second.isTaken) {
				hasRefused = true;
				logRefusal(workspace, limits);
			}

			return second;
		},
		claimRates: home.claimRates,
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
			knownSince ??= now().steady;
		},
		step() {
			if (fleet === undefined || options.findFleetProof() === undefined || isBusy || !fleet.hosts.has(self)) {
				return;
			}

			const row = findRow();
			const isRestarted = row?.holder === self && row.incarnation !== incarnation;
			if (isRestarted || isVacant(row, fleet)) {
				void runAlone(takePlace(row));
			} else if (row !== undefined && now().steady - claimedAt > (hasRefused ? urgentInterval : claimInterval)) {
				void runAlone(claim(row));
			}
		},
	};
}
