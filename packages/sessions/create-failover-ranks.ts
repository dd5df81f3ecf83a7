import {rankHosts} from '@sapphirefall/decisions';
import type {FailoverReason} from './failover-reason.ts';
import {findFailoverRank} from './find-failover-rank.ts';
import type {Gateways} from './gateways.ts';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';
import {rankRemoteHosts} from './rank-remote-hosts.ts';

type Options = {
	/** This host. */
	readonly own: Pick<HostRow, 'name' | 'zone'>;
	readonly listHosts: () => ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	readonly gateways: Pick<Gateways, 'list' | 'findSilentSince' | 'hasSilentHost'>;
	/** Whether this host holds the failover lock because it replaces the primary of a group. */
	readonly hasFailoverLock: () => boolean;
};

/** The ranks of this host among those that may change a group's row; hosts act in the order of their ranks, so that only one does. */
type FailoverRanks = {
	/** Finds the milliseconds for which this host lets others replace a primary; `primary` is undefined if the platform does not list it. */
	readonly findDelay: (group: string, loss: {readonly reason: FailoverReason; readonly primary: ListedInstance | undefined}) => number;
	/** Finds this host's rank, for a purpose, among the hosts of its zone and of the zones without a silent host. */
	readonly findReachableRank: (purpose: string) => number;
	/** Whether this host asks another one that uses the failover lock whether it is there, before it takes the lock from it for a group. */
	readonly isLockChecker: (group: string) => boolean;
	/** Whether this host pings the gateways of a primary in another zone of which a host is silent, since the whole zone may be lost. */
	readonly isProber: (primary: ListedInstance) => boolean;
};

/** Milliseconds by which each host waits longer than the host ranked before it, so that only one replaces a primary. */
const rankDelayMs = 200;

/** Highest rank of a host that may resume an abandoned failover. */
const maxResumeRank = 4;

/** Number of hosts that ask a host whether it still uses the failover lock. */
const lockCheckerCount = 8;

/** Number of hosts of other zones that check the gateways of a primary once a host of its zone is silent. */
const proberCount = 4;

/** Creates the ranks of a host; see `FailoverRanks`. */
export function createFailoverRanks({
	own, listHosts, gateways, hasFailoverLock,
}: Options): FailoverRanks {
	const findRank = (primary: ListedInstance | undefined) => findFailoverRank({
		self: own.name,
		zone: primary?.zone ?? '',
		hosts: listHosts(),
		gateways: primary === undefined ? [] : gateways.list(primary, undefined),
		areGatewaysSilent: primary !== undefined && gateways.findSilentSince(primary) !== undefined,
		hasFailoverLock: hasFailoverLock(),
	});

	const findReachableRank = (purpose: string) => {
		const reachable = listHosts().filter(({zone}) => zone === own.zone || !gateways.hasSilentHost(zone));
		return rankHosts(purpose, reachable.map(({name}) => name)).indexOf(own.name);
	};

	/** Finds this host's rank among those that may resume an abandoned failover. */
	const findResumeRank = (group: string) => Math.min(maxResumeRank, findReachableRank(`resume/${group}`));

	return {
		findDelay(group, {reason, primary}) {
			const isResuming = reason === 'abandoned' || reason === 'restored';
			return (isResuming ? findResumeRank(group) : findRank(primary)) * rankDelayMs;
		},
		findReachableRank,
		isLockChecker: group => findReachableRank(`lock/${group}`) < lockCheckerCount,
		isProber({zone}) {
			if (zone === own.zone || !gateways.hasSilentHost(zone)) {
				return false;
			}

			return hasFailoverLock() || rankRemoteHosts(zone, listHosts()).slice(0, proberCount).includes(own.name);
		},
	};
}
