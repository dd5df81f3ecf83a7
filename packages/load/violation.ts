/**
 * A wrong answer, and the request that received it.
 *
 * - `lost`: an acknowledged write is not in the database.
 * - `doubled`: a write is in the database more than once.
 * - `notRunRan`: a write that was reported as not run is in the database.
 * - `foreign`: the answer belongs to another request.
 * - `stale`: a read is staler than it accepts.
 * - `unreadWrite`: a read in session misses an acknowledged write of the session.
 */
export type Violation = {
	readonly kind: 'lost' | 'doubled' | 'notRunRan' | 'foreign' | 'stale' | 'unreadWrite';
	readonly request: string;
	readonly detail: string;
};
