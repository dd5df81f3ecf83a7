import {rankHosts} from './rank-hosts.ts';

/**
 * Finds the standby of a workspace's home: the next host by rank in another zone, or the next one at all.
 *
 * When the home leaves the roster, alone or with its zone, its standby is the next home or that one's standby.
 *
 * @param workspace The workspace.
 * @param options The hosts of the roster, and the zone of a host.
 */
export function findStandby(
	workspace: string,
	options: {readonly homes: readonly string[]; readonly findZone: (host: string) => string | undefined},
): string | undefined {
	const [home, ...others] = rankHosts(`home/${workspace}`, options.homes);
	const zone = options.findZone(home ?? '');
	return others.find(host => options.findZone(host) !== zone) ?? others[0];
}
