import type {Host} from './host.ts';
import type {Membership} from './membership.ts';

/** Lists the hosts that may be given work: listed, not departing, and not known to be dead. This host counts as alive. */
export function listLiveHosts(membership: Membership): readonly Host[] {
	return [...membership.hosts.values()].filter(host => {
		const isAlive = host.id === membership.self || (membership.members.get(host.id)?.isAlive ?? true);
		return isAlive && !host.isDeparting;
	});
}
