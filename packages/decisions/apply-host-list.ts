import type {Host} from './host.ts';
import type {Membership} from './membership.ts';

/**
 * Applies the platform's list of hosts; drops the hosts that are no longer listed.
 *
 * Ignores an empty list. Keeps this host even if it is not listed, as the list may lag behind the host's start.
 */
export function applyHostList(membership: Membership, hosts: readonly Host[]): Membership {
	if (hosts.length === 0) {
		return membership;
	}

	const listed = new Map(hosts.map(host => [host.id, host]));
	const self = membership.hosts.get(membership.self);
	if (self !== undefined && !listed.has(self.id)) {
		listed.set(self.id, self);
	}

	const members = new Map([...membership.members].filter(([id]) => listed.has(id)));
	return {...membership, hosts: listed, members};
}
