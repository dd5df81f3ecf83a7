import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import type {HostState} from './host-state.ts';
import type {Roster} from './roster.ts';

type Proposed = Omit<Roster, 'head' | 'epoch'>;

/** Milliseconds for which a change of the live hosts must have stood before the roster follows it. */
const settleTime = 400;

/**
 * Chooses the next roster, if the present one differs from the live hosts and this host is the one to change it.
 *
 * A host that sees no more than half of the listed hosts alive changes nothing: it may be the one that is cut off.
 * Only an acceptor changes a roster that has acceptors, so that hosts which rely on the acceptors' word hear
 * of the change. When the platform lists none of them any more, they have all been replaced, and any live host
 * may change it. A zone keeps one acceptor; a live one keeps its part.
 *
 * @param state The host's state.
 * @param now Monotonic milliseconds.
 */
export function chooseRoster(state: HostState, now: number): Proposed | undefined {
	const {self, members} = state.membership;
	const live = listLiveHosts(state.membership);
	const homes = live.map(({id}) => id).toSorted();
	const hosts = [...state.membership.hosts.values()].filter(({isDeparting}) => !isDeparting).map(({id}) => id).toSorted();
	const {roster} = state;
	const isSettled = [...members.values()].every(({changedAt}) => now - changedAt >= settleTime);
	const isSame = hosts.join(' ') === roster.hosts.join(' ') && homes.join(' ') === roster.homes.join(' ');
	const listedAcceptors = roster.acceptors.filter(id => state.membership.hosts.has(id));
	const changers = listedAcceptors.length === 0 ? homes : listedAcceptors.filter(id => homes.includes(id));
	const hasMajority = homes.length * 2 > hosts.length;
	if (isSame || !isSettled || !hasMajority || rankHosts('roster', changers)[0] !== self) {
		return undefined;
	}

	const zones = [...new Set(live.map(({zone}) => zone))].toSorted();
	const acceptors = zones.map(zone => {
		const zoneHosts = live.filter(host => host.zone === zone).map(({id}) => id);
		return zoneHosts.find(id => roster.acceptors.includes(id)) ?? rankHosts('acceptor', zoneHosts)[0] ?? '';
	});
	return {hosts, homes, acceptors};
}
