import {rankHosts} from './rank-hosts.ts';
import type {HostState} from './host-state.ts';

/**
 * Finds the standby host of a workspace: the next host by rank in another zone than the home host's, else the next
 * host by rank.
 *
 * When the home host leaves the roster, alone or with its zone, the standby host becomes the next home host or the
 * standby host of that one.
 *
 * @param workspace The workspace.
 * @param state The roster, and the membership with the zones of its hosts.
 * @returns The host's identifier, or `undefined` when the roster has fewer than two homes.
 */
export function findStandby(
	workspace: string,
	{roster, membership}: Pick<HostState, 'roster' | 'membership'>,
): string | undefined {
	const findZone = (host: string | undefined) => membership.hosts.get(host ?? '')?.zone;
	const [home, ...others] = rankHosts(`home/${workspace}`, roster.homes);
	return others.find(host => findZone(host) !== findZone(home)) ?? others[0];
}
