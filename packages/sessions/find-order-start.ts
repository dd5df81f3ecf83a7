import {findFenceRemaining} from './find-fence-remaining.ts';
import type {FleetRows} from './fleet-rows.ts';

/**
 * Finds when this host may order promotions, in milliseconds of the steady clock, if it has just taken the failover lock.
 *
 * A silent host from which it was taken may order until the last proof of its lock is as old as a lease on a primary.
 *
 * @param user Host that used the lock; undefined if none did.
 */
export function findOrderStart(user: string | undefined, {hosts, goneHosts}: Pick<FleetRows, 'hosts' | 'goneHosts'>, now: number): number {
	return user === undefined ? now : now + findFenceRemaining({at: now, pending: [hosts.get(user) ?? goneHosts.get(user) ?? {}]}, now);
}
