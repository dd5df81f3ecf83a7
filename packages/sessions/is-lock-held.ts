import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';

/** Token in the row of a failover whose host has not taken the failover lock. */
const noToken = 0;

/** Whether the host that runs a group's failover holds the failover lock with the token of the group's row. */
export function isLockHeld({holder, token}: Pick<GroupRow, 'holder' | 'token'>, {failoverLock}: Pick<FleetRows, 'failoverLock'>): boolean {
	return token !== noToken && failoverLock?.holder === holder && failoverLock.token === token;
}
