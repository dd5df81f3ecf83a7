import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';

/**
 * Ranks the hosts of other zones that act when a zone may be lost, the first one first. The order is the same for all groups
 * with a primary in that zone, since one host then replaces all of them.
 */
export function rankRemoteHosts(zone: string, hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>): readonly string[] {
	return rankHosts(`failover/${zone}`, hosts.filter(host => host.zone !== zone).map(({name}) => name));
}
