import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import type {HostState} from './host-state.ts';
import type {Roster} from './roster.ts';

type ProposedRoster = Omit<Roster, 'head' | 'epoch'>;

/** Time for which the liveness of all hosts must have been unchanged before the roster follows it. */
const stabilityPeriodMs = 400;

/**
 * Chooses the next roster, if the present one differs from the known hosts and this host is the one to change it.
 *
 * A host that sees no more than half of the listed hosts alive changes nothing: it may be partitioned from the rest.
 * Only an acceptor changes a roster that has acceptors, so that hosts that rely on the acceptors' confirmations
 * learn of the change. When the platform no longer lists any of the acceptors, they have all been replaced, and any
 * live host may change the roster. Each zone has one acceptor; a live acceptor keeps its role.
 *
 * @param state The host's state.
 * @param now Monotonic milliseconds.
 * @returns The next roster, or `undefined` if this host changes nothing.
 */
export function chooseRoster(state: HostState, now: number): ProposedRoster | undefined {
	const {self, members} = state.membership;
	const live = listLiveHosts(state.membership);
	const homes = live.map(({id}) => id).toSorted();
	const hosts = [...state.membership.hosts.values()].filter(({isDeparting}) => !isDeparting).map(({id}) => id).toSorted();
	const {roster} = state;
	const isStable = [...members.values()].every(({changedAt}) => now - changedAt >= stabilityPeriodMs);
	const isSame = hosts.join(' ') === roster.hosts.join(' ') && homes.join(' ') === roster.homes.join(' ');
	const listedAcceptors = roster.acceptors.filter(id => state.membership.hosts.has(id));
	const proposers = listedAcceptors.length === 0 ? homes : listedAcceptors.filter(id => homes.includes(id));
	const hasMajority = homes.length * 2 > hosts.length;
	if (isSame || !isStable || !hasMajority || rankHosts('roster', proposers)[0] !== self) {
		return undefined;
	}

	const zones = [...new Set(live.map(({zone}) => zone))].toSorted();
	const acceptors = zones.map(zone => {
		const zoneHosts = live.filter(host => host.zone === zone).map(({id}) => id);
		return zoneHosts.find(id => roster.acceptors.includes(id)) ?? rankHosts('acceptor', zoneHosts)[0] ?? '';
	});
	return {hosts, homes, acceptors};
}
