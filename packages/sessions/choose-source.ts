import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly zone: string;
	readonly hosts: readonly HostRow[];
	/** Until when a host is not asked, in steady milliseconds, because it did not know enough. */
	readonly avoidedUntil: ReadonlyMap<string, number>;
	/** Steady milliseconds. */
	readonly now: number;
};

/**
 * Chooses the host from which this one learns what the store holds; itself when it is to read the store.
 *
 * The first of its zone reads for all of the zone, so that calls to the store grow with the zones and not with the
 * hosts. Hosts of other zones are asked only when none of its own knows enough.
 */
export function chooseSource({self, zone, hosts, avoidedUntil, now}: Options): string {
	const isUsable = (name: string) => (avoidedUntil.get(name) ?? 0) <= now;
	const local = hosts.filter(host => host.zone === zone).map(({name}) => name);
	const remote = hosts.filter(host => host.zone !== zone).map(({name}) => name);
	const names = local.includes(self) ? local : [...local, self];
	return rankHosts(`reader/${zone}`, names).find(name => isUsable(name))
		?? rankHosts(`reader/${self}`, remote).find(name => isUsable(name))
		?? self;
}
