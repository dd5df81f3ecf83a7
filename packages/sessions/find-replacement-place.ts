import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';

type Options = {
	readonly self: string;
	/** Availability zone of the primary. */
	readonly zone: string;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Hosts that connect to the primary, best first; undefined when all do. */
	readonly gateways: readonly string[] | undefined;
	/** Host that replaced a primary last; it keeps the duty if it can. */
	readonly holder: string | undefined;
};

/** Place after which hosts wait no longer. */
const lastPlace = 8;

/** Place of hosts of other zones: they are needed only when the primary's own zone cannot act. */
const otherZonePlace = 3;

/**
 * Finds a host's place among those that may replace a primary; 0 acts first.
 *
 * Only hosts that connect to a primary notice that it is silent, so they come first where not all do.
 */
export function findReplacementPlace({self, zone, hosts, gateways, holder}: Options): number {
	if (gateways === undefined) {
		const names = rankHosts('duty', hosts.map(({name}) => name));
		const order = holder !== undefined && names.includes(holder) ? [holder, ...names.filter(name => name !== holder)] : names;
		return Math.min(lastPlace, Math.max(0, order.indexOf(self)));
	}

	const isElsewhere = hosts.find(({name}) => name === self)?.zone !== zone;
	const place = gateways.indexOf(self);
	if (place === -1) {
		return lastPlace;
	}

	return isElsewhere ? otherZonePlace : Math.min(otherZonePlace, place);
}
