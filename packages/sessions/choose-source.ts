import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';
import {rankZoneReaders} from './rank-zone-readers.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly zone: string;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Until when a host is not read from because its data was not fresh enough, in milliseconds of the steady clock. */
	readonly avoidedUntil: ReadonlyMap<string, number>;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/**
 * Chooses the host from which this host gets the store's tables; this host itself when it is to read the store.
 *
 * One host, the fleet reader, reads the store. The first usable host of each zone, the zone reader, reads from the fleet
 * reader, or from the store while the fleet reader is not usable. All other hosts read from their zone reader. The number
 * of calls to the store therefore grows with neither hosts nor zones. A host reads from another zone only when no host of
 * its own zone is usable.
 */
export function chooseSource({self, zone, hosts, avoidedUntil, now}: Options): string {
	const isUsable = (name: string) => (avoidedUntil.get(name) ?? 0) <= now;
	const names = hosts.map(({name}) => name);
	const fleetReader = rankHosts('reader', names)[0] ?? self;
	if (fleetReader === self && isUsable(self)) {
		return self;
	}

	const isRegistered = hosts.some(host => host.name === self && host.zone === zone);
	const zoneReader = rankZoneReaders(zone, isRegistered ? hosts : [...hosts, {name: self, zone}]).find(name => isUsable(name));
	if (zoneReader === self) {
		return isUsable(fleetReader) ? fleetReader : self;
	}

	const remote = hosts.filter(host => host.zone !== zone).map(({name}) => name);
	return zoneReader ?? rankHosts(`reader/${self}`, remote).find(name => isUsable(name)) ?? self;
}
