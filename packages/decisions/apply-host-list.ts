import type {Host} from './host.ts';
import type {Membership} from './membership.ts';

/**
 * Applies a platform list of hosts; hosts that left it are forgotten.
 *
 * An empty list is ignored, and this host stays known even when the list lags behind its start.
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
