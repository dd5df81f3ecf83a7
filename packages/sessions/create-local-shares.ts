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
	/** Partition of the workspaces that these shares belong to. */
	readonly partition: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly countHosts: () => number;
	readonly now: () => Instant;
};

/** A host's shares of the workspaces' rates in one partition. */
type LocalShares = {
	/** Takes an operation from a workspace's share, or returns the milliseconds after which to retry. */
	readonly takeOperation: (workspace: string, limits: WorkspaceLimits, isFirst: boolean) => {readonly isTaken: boolean; readonly retryAfter: number};
	readonly findShare: (workspace: string) => ShareState | undefined;
	/** Claims that report changed demand or renew shares before they expire. */
	readonly listClaims: () => readonly RateClaim[];
	/** Claim of one workspace; `needed` is the number of operations that callers are waiting for. */
	readonly createClaim: (workspace: string, needed: number) => RateClaim | undefined;
	/** Records the demand that the rate allocator has received. */
	readonly recordClaimed: (claims: readonly RateClaim[]) => void;
	/** Discards the recorded demand, because a new rate allocator has not received it. */
	readonly clearClaimed: () => void;
	readonly applyGrants: (grants: ReadonlyMap<string, RateGrant>, held: {readonly spanMs: number; readonly requestedAt: Instant}) => void;
};

/** Remaining lifetime in milliseconds below which a share is renewed, even if the demand has not changed. */
const renewalMs = 1300;

/** Fraction by which the demand must have changed to be reported. */
const minRelativeChange = 0.2;

/** Operations per second by which the demand must have changed in addition to `minRelativeChange`. */
const minAbsoluteChange = 0.5;

/** Maximum number of claims over all hosts, one per workspace and host, up to which hosts claim shares before the first request. */
const maxPreclaims = 200;

/** Demand in operations per second below which an expired share is deleted. */
const minDemand = 0.05;

/** Creates the table of a host's shares of the workspaces' rates in one partition. */
export function createLocalShares({partition, bound, findLimits, countHosts, now}: Options): LocalShares {
	const shares = new Map<string, ShareState>();
	/** Demand that the rate allocator last received, by workspace. */
	const reportedDemand = new Map<string, number>();

	/** Whether shares are claimed before the first request; only done while the number of claims is small. */
	const isPreclaiming = () => findLimits().size * countHosts() <= maxPreclaims;

	const addPreclaimed = () => {
		for (const workspace of isPreclaiming() ? findLimits().keys() : []) {
			if (!shares.has(workspace) && findRatePartition(workspace) === partition) {
				shares.set(workspace, createShareState(now()));
			}
		}
	};

	/** Deletes expired shares without demand; their remaining tokens are lost. */
	const dropUnused = () => {
		for (const [workspace, share] of isPreclaiming() ? [] : shares) {
			if (findDemand(share, now()) < minDemand && findHeldRate(share, now()).left === 0) {
				shares.delete(workspace);
				reportedDemand.delete(workspace);
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

	/** Whether the allocator grants this workspace a share that needs renewal; otherwise the host requests each operation. */
	const hasRenewableShare = ({workspace, demand}: RateClaim) => {
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
			addPreclaimed();
			dropUnused();
			return [...shares.keys()]
				.map(workspace => createClaim(workspace, 0))
				.filter(claim => claim !== undefined)
				.filter(claim => isClaimDue(claim, {reported: reportedDemand.get(claim.workspace), isRenewable: hasRenewableShare(claim)}));
		},
		createClaim,
		recordClaimed(claims) {
			// Claims of permits for cold instances belong to no share.
			for (const {workspace, demand} of claims.filter(claim => shares.has(claim.workspace))) {
				reportedDemand.set(workspace, demand);
			}
		},
		clearClaimed() {
			reportedDemand.clear();
		},
		applyGrants(grants, {spanMs, requestedAt}) {
			for (const [workspace, grant] of grants) {
				const share = shares.get(workspace);
				if (share !== undefined) {
					shares.set(workspace, applyGrant(share, {
						...grant, spanMs, requestedAt, now: now().steady,
					}));
				}
			}
		},
	};
}

/** Whether a claim reports changed demand or renews a share before it expires. */
function isClaimDue({demand, heldFor}: RateClaim, {reported, isRenewable}: {readonly reported: number | undefined; readonly isRenewable: boolean}): boolean {
	return reported === undefined || (isRenewable && heldFor < renewalMs) || Math.abs(demand - reported) > (minRelativeChange * reported) + minAbsoluteChange;
}
