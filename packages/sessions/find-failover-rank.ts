import type {HostRow} from './host-row.ts';
import {rankRemoteHosts} from './rank-remote-hosts.ts';

type Options = {
	readonly self: string;
	/** Availability zone of the primary. */
	readonly zone: string;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Hosts that connect to the primary, best first. */
	readonly gateways: readonly string[];
	/** Whether no gateway in the primary's zone answers this host. */
	readonly areGatewaysSilent: boolean;
	/** Whether this host holds the failover lock because it replaces the primary of another group. */
	readonly hasFailoverLock: boolean;
};

/** Rank of all hosts that do not connect to the primary, so that the longest wait is bounded. */
const lastRank = 8;

/** Rank of hosts of other zones, which are needed only when no host of the primary's own zone can act. */
const otherZoneRank = 3;

/** Difference of rank between hosts of other zones once the gateways are silent; a vote of one lasts longer than one rank's delay. */
const remoteRankStep = 2;

/**
 * Finds a host's rank among those that may replace a primary; rank 0 acts first.
 *
 * Hosts that connect to the primary come first, as only they notice that it is silent. When none of them answers, the
 * primary's zone may be lost, and hosts of other zones act; see `rankRemoteHosts`. The host that holds the failover lock
 * has rank 0 for every other primary that it finds lost, because no other host may replace them meanwhile.
 */
export function findFailoverRank({
	self, zone, hosts, gateways, areGatewaysSilent, hasFailoverLock,
}: Options): number {
	if (hasFailoverLock) {
		return 0;
	}

	const isInOtherZone = hosts.find(({name}) => name === self)?.zone !== zone;
	if (isInOtherZone && areGatewaysSilent) {
		return Math.min(lastRank, remoteRankStep * rankRemoteHosts(zone, hosts).indexOf(self));
	}

	const index = gateways.indexOf(self);
	if (index === -1) {
		return lastRank;
	}

	return isInOtherZone ? otherZoneRank : Math.min(otherZoneRank, index);
}
