import {rankHosts} from './rank-hosts.ts';
import type {HostState} from './host-state.ts';

/**
 * Finds the standby of a workspace's home: the next host by rank in another zone, or the next one at all.
 *
 * When the home leaves the roster, alone or with its zone, its standby is the next home or that one's standby.
 *
 * @param workspace The workspace.
 * @param state The roster and the zones of its hosts.
 */
export function findStandby(
	workspace: string,
	{roster, membership}: Pick<HostState, 'roster' | 'membership'>,
): string | undefined {
	const findZone = (host: string | undefined) => membership.hosts.get(host ?? '')?.zone;
	const [home, ...others] = rankHosts(`home/${workspace}`, roster.homes);
	return others.find(host => findZone(host) !== findZone(home)) ?? others[0];
}
