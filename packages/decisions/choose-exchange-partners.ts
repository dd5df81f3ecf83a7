import type {Host} from './host.ts';
import type {Membership} from './membership.ts';

/**
 * Chooses the hosts to exchange with in a round.
 *
 * In round r a host contacts the host 2^(r mod log2 n) positions ahead on the ring of identifiers. An update thus
 * reaches all n hosts in log2 n rounds, and each host starts one exchange a round and answers one. Live hosts whose
 * last exchange failed are contacted again in every round; a dead host is contacted only at its turn on the ring.
 *
 * @param membership The membership.
 * @param round Number of the round.
 */
export function chooseExchangePartners(membership: Membership, round: number): readonly Host[] {
	const ring = [...membership.hosts.values()].toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const position = ring.findIndex(host => host.id === membership.self);
	if (position === -1 || ring.length < 2) {
		return [];
	}

	const strides = Math.ceil(Math.log2(ring.length));
	const scheduled = ring[(position + (2 ** (round % strides))) % ring.length];
	const suspects = ring.filter(host => {
		const member = membership.members.get(host.id);
		return member?.isAlive === true && member.failures > 0;
	});
	return [...new Set([scheduled, ...suspects])].filter(host => host !== undefined && host.id !== membership.self) as Host[];
}
