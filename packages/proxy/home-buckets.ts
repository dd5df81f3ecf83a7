import type {Roster} from '@sapphirefall/decisions';
import type {LoanRequest, LoanGrant, BucketHandover} from '@sapphirefall/hosts';

/** The token buckets of the workspaces whose home host this host is. */
export type HomeBuckets = {
	/** Whether this host may lend units of all workspaces whose home host it is. */
	readonly isReady: () => boolean;
	/**
	 * Hands over the buckets of workspaces that a new roster assigns to another home host.
	 *
	 * Drops all buckets when this host missed a roster, as another host may have lent their units meanwhile.
	 */
	readonly followRoster: (before: Roster, after: Roster) => void;
	/** Takes over a bucket; false when this host's roster does not name it as the home host. */
	readonly acceptHandover: (bucket: BucketHandover) => boolean;
	/** Lends units of a workspace; undefined when this host is not its home host or may not lend now. */
	readonly lend: (request: LoanRequest) => LoanGrant | undefined;
};
