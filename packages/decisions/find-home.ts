import {rankHosts} from './rank-hosts.ts';

/**
 * Finds the home host of a workspace, which holds its token bucket and lends units from it to the other hosts.
 *
 * @param workspace The workspace.
 * @param hosts The hosts of the roster that can be homes.
 * @returns The host's identifier, or `undefined` when the list is empty.
 */
export function findHome(workspace: string, hosts: readonly string[]): string | undefined {
	return rankHosts(`home/${workspace}`, hosts)[0];
}
