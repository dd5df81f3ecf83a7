import {rankHosts} from './rank-hosts.ts';

/** Finds the home of a workspace's bucket among the hosts of a roster; undefined when there are none. */
export function findHome(workspace: string, hosts: readonly string[]): string | undefined {
	return rankHosts(`home/${workspace}`, hosts)[0];
}
