import type {Failover} from './failover.ts';
import type {FleetRows} from './fleet-rows.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';

/**
 * Finds the other host that uses the failover lock, because it has fenced the primary of another group with it and has not
 * given that failover up; undefined if none does.
 */
export function findLockUser({groups, failoverLock}: Pick<FleetRows, 'groups' | 'failoverLock'>, {group, self, isGivenUp}: Pick<Failover, 'group' | 'self' | 'isGivenUp'>): string | undefined {
	if (failoverLock === undefined || failoverLock.holder === self) {
		return undefined;
	}

	const {holder, token} = failoverLock;
	const isUsed = [...groups].some(([name, row]) => name !== group.name
		&& row.state === 'fencing' && !isFromEarlierEra(row)
		&& row.holder === holder && row.token === token
		&& !isGivenUp(name, row.epoch));
	return isUsed ? holder : undefined;
}
