import type {MemberUpdate} from './member-update.ts';
import type {Member} from './member.ts';
import type {Membership} from './membership.ts';

/**
 * Applies the member updates of another host, after SWIM (Das, Gupta and Motivala 2002).
 *
 * A higher incarnation wins; within the same incarnation "dead" wins over "alive". A host that is reported dead
 * itself takes a higher incarnation, which refutes the report.
 *
 * @param membership The membership so far.
 * @param options The updates and monotonic milliseconds.
 */
export function applyMemberUpdates(
	membership: Membership,
	options: {readonly memberUpdates: readonly MemberUpdate[]; readonly now: number},
): Membership {
	let {incarnation} = membership;
	const members = new Map(membership.members);
	for (const update of options.memberUpdates) {
		if (update.id === membership.self) {
			incarnation = update.isAlive ? incarnation : Math.max(incarnation, update.incarnation + 1);
		} else if (isNewer(update, members.get(update.id))) {
			members.set(update.id, {
				incarnation: update.incarnation, isAlive: update.isAlive, changedAt: options.now, failures: 0,
			});
		}
	}

	return {...membership, incarnation, members};
}

function isNewer(update: MemberUpdate, known: Member | undefined): boolean {
	if (known === undefined || update.incarnation > known.incarnation) {
		return true;
	}

	return update.incarnation === known.incarnation && known.isAlive && !update.isAlive;
}
