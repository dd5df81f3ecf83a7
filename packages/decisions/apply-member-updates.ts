import type {MemberUpdate} from './member-update.ts';
import type {Member} from './member.ts';
import type {Membership} from './membership.ts';

/**
 * Applies what another host told of members, after SWIM (Das, Gupta and Motivala 2002).
 *
 * A higher incarnation wins; in the same incarnation a death wins. A host that hears of its own death takes a
 * higher incarnation, which refutes it.
 *
 * @param membership What is known.
 * @param options The news and monotonic milliseconds.
 */
export function applyMemberUpdates(
	membership: Membership,
	options: {readonly memberUpdates: readonly MemberUpdate[]; readonly now: number},
): Membership {
	let {incarnation} = membership;
	const members = new Map(membership.members);
	for (const item of options.memberUpdates) {
		if (item.id === membership.self) {
			incarnation = item.isAlive ? incarnation : Math.max(incarnation, item.incarnation + 1);
		} else if (isNewer(item, members.get(item.id))) {
			members.set(item.id, {
				incarnation: item.incarnation, isAlive: item.isAlive, changedAt: options.now, failures: 0,
			});
		}
	}

	return {...membership, incarnation, members};
}

function isNewer(news: MemberUpdate, known: Member | undefined): boolean {
	if (known === undefined || news.incarnation > known.incarnation) {
		return true;
	}

	return news.incarnation === known.incarnation && known.isAlive && !news.isAlive;
}
