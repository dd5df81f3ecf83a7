import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly zone: string;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Until when a host is not asked, in steady milliseconds, because it did not know enough. */
	readonly avoidedUntil: ReadonlyMap<string, number>;
	/** Steady milliseconds. */
	readonly now: number;
};

/**
 * Chooses the host from which this one learns what the store holds; itself when it is to read the store.
 *
 * One host reads for the fleet. The first host of each zone asks it, and reads for its zone if it does not know enough;
 * the others ask that one. So calls to the store grow with neither hosts nor zones. Hosts of other zones are asked only
 * when none of the own zone knows enough.
 */
export function chooseSource({self, zone, hosts, avoidedUntil, now}: Options): string {
	const isUsable = (name: string) => (avoidedUntil.get(name) ?? 0) <= now;
	const names = hosts.map(({name}) => name);
	const fleetReader = rankHosts('reader', names)[0] ?? self;
	if (fleetReader === self && isUsable(self)) {
		return self;
	}

	const local = hosts.filter(host => host.zone === zone).map(({name}) => name);
	const zoneReader = rankHosts(`reader/${zone}`, local.includes(self) ? local : [...local, self]).find(name => isUsable(name));
	if (zoneReader === self) {
		return isUsable(fleetReader) ? fleetReader : self;
	}

	const remote = hosts.filter(host => host.zone !== zone).map(({name}) => name);
	return zoneReader ?? rankHosts(`reader/${self}`, remote).find(name => isUsable(name)) ?? self;
}
