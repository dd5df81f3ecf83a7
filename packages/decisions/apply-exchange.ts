import type {Membership} from './membership.ts';

/** Exchanges that must fail in a row before a host counts as dead. */
const failureLimit = 2;

/**
 * Applies the outcome of an exchange with another host.
 *
 * @param membership The membership so far.
 * @param options The other host, its incarnation or `undefined` if it did not answer, and monotonic milliseconds.
 */
export function applyExchange(
	membership: Membership,
	options: {readonly id: string; readonly incarnation: number | undefined; readonly now: number},
): Membership {
	const {id, incarnation, now} = options;
	const known = membership.members.get(id);
	const members = new Map(membership.members);
	if (incarnation !== undefined) {
		const isChanged = known?.isAlive !== true || known.incarnation !== incarnation;
		members.set(id, {
			incarnation, isAlive: true, changedAt: isChanged ? now : known.changedAt, failures: 0,
		});
		return {...membership, members};
	}

	const failures = (known?.failures ?? 0) + 1;
	const isAlive = (known?.isAlive ?? true) && failures < failureLimit;
	members.set(id, {
		incarnation: known?.incarnation ?? 0,
		isAlive,
		changedAt: isAlive === (known?.isAlive ?? true) ? known?.changedAt ?? now : now,
		failures,
	});
	return {...membership, members};
}
