import type {InstancePool} from '../pools/instance-pool.ts';

/**
 * Creates a view of a pool that gives out no connection once `mayBegin` does not allow it, since a request may have waited for
 * one, and the session's values would be set up on it.
 */
export function createGuardedPool(pool: InstancePool, mayBegin: () => boolean): InstancePool {
	return {
		...pool,
		async acquire(request) {
			const acquired = await pool.acquire(request);
			if (acquired.kind !== 'acquired' || mayBegin()) {
				return acquired;
			}

			pool.release(acquired.connection, true);
			return {kind: 'busy'};
		},
	};
}
