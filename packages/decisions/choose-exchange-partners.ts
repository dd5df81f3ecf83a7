import type {Host} from './host.ts';
import type {Membership} from './membership.ts';

/**
 * Chooses the hosts to exchange with in a round.
 *
 * In round r a host turns to the one 2^(r mod log2 n) places further on the ring of identifiers, so news
 * crosses n hosts in log2 n rounds and each host has one exchange a round to give and one to take. Hosts whose
 * last exchange failed are asked again at once; a dead one is asked when its turn on the ring comes.
 *
 * @param membership What is known.
 * @param round Number of the round.
 */
export function chooseExchangePartners(membership: Membership, round: number): readonly Host[] {
	const ring = [...membership.hosts.values()].toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const place = ring.findIndex(host => host.id === membership.self);
	if (place === -1 || ring.length < 2) {
		return [];
	}

	const strides = Math.ceil(Math.log2(ring.length));
	const turn = ring[(place + (2 ** (round % strides))) % ring.length];
	const doubted = ring.filter(host => {
		const member = membership.members.get(host.id);
		return member?.isAlive === true && member.failures > 0;
	});
	return [...new Set([turn, ...doubted])].filter(host => host !== undefined && host.id !== membership.self) as Host[];
}
