import type {Roster} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted, HandedBucket} from '@sapphirefall/hosts';

/** Keeps the buckets of the workspaces whose home this host is. */
export type HomeBuckets = {
	/** Whether this host lends for all workspaces whose home it is. */
	readonly isReady: () => boolean;
	/**
	 * Hands over the buckets of workspaces whose home is another host by a new roster.
	 *
	 * Forgets all buckets when a roster was missed: another host may have lent meanwhile.
	 */
	readonly followRoster: (before: Roster, after: Roster) => void;
	/** Takes a bucket over; false when this host does not know that it is the home. */
	readonly takeOver: (bucket: HandedBucket) => boolean;
	/** Lends units of a workspace whose home this host is; undefined when it is not. */
	readonly lend: (asked: BorrowAsked) => BorrowGranted | undefined;
};
