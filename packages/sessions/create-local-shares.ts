import {applyGrant} from './apply-grant.ts';
import {createShareState} from './create-share-state.ts';
import {findDemand} from './find-demand.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findRatePartition} from './find-rate-partition.ts';
import type {Instant} from './instant.ts';
import {isAllocatedOnDemand} from './is-allocated-on-demand.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
import type {ShareState} from './share-state.ts';
import {takeOperation} from './take-operation.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	/** Partition of the workspaces whose shares these are. */
	readonly partition: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly countHosts: () => number;
	readonly now: () => Instant;
};

/** A host's shares of the rates of one partition. */
type LocalShares = {
	/** Takes an operation of a workspace; else says after how many milliseconds to come back. */
	readonly takeOperation: (workspace: string, limits: WorkspaceLimits, isFirst: boolean) => {readonly isTaken: boolean; readonly retryAfter: number};
	readonly findShare: (workspace: string) => ShareState | undefined;
	/** Claims that tell the home something new, or keep shares from lapsing. */
	readonly listClaims: () => readonly RateClaim[];
	/** The claim of a workspace, with operations that callers wait for. */
	readonly createClaim: (workspace: string, needed: number) => RateClaim | undefined;
	/** Takes note of what the home was told. */
	readonly recordClaimed: (claims: readonly RateClaim[]) => void;
	/** Forgets what the home was told, since there is another one. */
	readonly clearClaimed: () => void;
	readonly applyGrants: (grants: ReadonlyMap<string, RateGrant>, held: {readonly span: number; readonly askedAt: Instant}) => void;
};

/** Milliseconds that a share still holds when it is claimed again, though nothing has changed. */
const renewalSpan = 1300;

/** Share by which demand must have changed to be told. */
const demandChange = 0.2;

/** Operations a second by which it must have changed besides. */
const leastChange = 0.5;

/** Claims of all hosts at most, one for each workspace and host, for which shares are held before callers ask. */
const expectedLimit = 200;

/** Operations a second; a share with less demand is forgotten once it has lapsed. */
const leastDemand = 0.05;

/** Creates what keeps a host's shares of the rates of one partition. */
export function createLocalShares({partition, bound, findLimits, countHosts, now}: Options): LocalShares {
	const shares = new Map<string, ShareState>();
	/** Demand that the home was told last, by workspace. */
	const claimedDemand = new Map<string, number>();

	/** Whether shares are held before the first callers come: only where that takes few claims. */
	const isExpecting = () => findLimits().size * countHosts() <= expectedLimit;

	const addExpected = () => {
		for (const workspace of isExpecting() ? findLimits().keys() : []) {
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

	const createClaim: LocalShares['createClaim'] = (workspace, needed) => {
		const share = shares.get(workspace);
		const held = share && findHeldRate(share, now());
		return share && held && {
			workspace, demand: findDemand(share, now()), held: held.rate, heldFor: held.left, needed,
		};
	};

	/** Whether the home grants a share that must be renewed; else the host asks it for each operation. */
	const holdsShare = ({workspace, demand}: RateClaim) => {
		const limit = findLimits().get(workspace)?.rate ?? 0;
		return !isAllocatedOnDemand({limit, hostCount: countHosts(), demand});
	};

	return {
		takeOperation(workspace, limits, isFirst) {
			const {share, isTaken, retryAfter} = takeOperation(shares.get(workspace), {
				limits, bound, hostCount: countHosts(), now: now(), isFirst,
			});
			shares.set(workspace, share);
			return {isTaken, retryAfter};
		},
		findShare: workspace => shares.get(workspace),
		listClaims() {
			addExpected();
			dropUnused();
			return [...shares.keys()]
				.map(workspace => createClaim(workspace, 0))
				.filter(claim => claim !== undefined)
				.filter(claim => isWorthClaiming(claim, {told: claimedDemand.get(claim.workspace), isHeld: holdsShare(claim)}));
		},
		createClaim,
		recordClaimed(claims) {
			for (const {workspace, demand} of claims) {
				claimedDemand.set(workspace, demand);
			}
		},
		clearClaimed() {
			claimedDemand.clear();
		},
		applyGrants(grants, {span, askedAt}) {
			for (const [workspace, grant] of grants) {
				const share = shares.get(workspace);
				if (share !== undefined) {
					shares.set(workspace, applyGrant(share, {
						...grant, span, askedAt, now: now().steady,
					}));
				}
			}
		},
	};
}

/** Whether a claim tells the home something new, or keeps a share from lapsing. */
function isWorthClaiming({demand, heldFor}: RateClaim, {told, isHeld}: {readonly told: number | undefined; readonly isHeld: boolean}): boolean {
	return told === undefined || (isHeld && heldFor < renewalSpan) || Math.abs(demand - told) > (demandChange * told) + leastChange;
}
