import type {HostRow} from './host-row.ts';

type Options = {
	readonly self: string;
	/** Availability zone of the primary. */
	readonly zone: string;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Hosts that connect to the primary, best first. */
	readonly gateways: readonly string[];
	/** Whether this host is replacing the primary of another group. */
	readonly hasFailoverLock: boolean;
};

/** Place after which hosts wait no longer. */
const lastPlace = 8;

/** Place of hosts of other zones: they are needed only when the primary's own zone cannot act. */
const otherZonePlace = 3;

/**
 * Finds a host's place among those that may replace a primary; 0 acts first.
 *
 * Only hosts that connect to a primary notice that it is silent, so they come first. One host at a time may replace
 * primaries: while it does, it replaces all that it finds lost, such as those of a zone.
 */
export function findFailoverRank({
	self, zone, hosts, gateways, hasFailoverLock: isHoldingDuty,
}: Options): number {
	if (isHoldingDuty) {
		return 0;
	}

	const isElsewhere = hosts.find(({name}) => name === self)?.zone !== zone;
	const place = gateways.indexOf(self);
	if (place === -1) {
		return lastPlace;
	}

	return isElsewhere ? otherZonePlace : Math.min(otherZonePlace, place);
}
