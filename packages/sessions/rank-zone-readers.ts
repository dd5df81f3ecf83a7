import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';

/** Ranks the hosts of a zone from which the other hosts of the zone read the store's tables; the first usable one is the zone reader. */
export function rankZoneReaders(zone: string, hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>): readonly string[] {
	return rankHosts(`reader/${zone}`, hosts.filter(host => host.zone === zone).map(({name}) => name));
}
