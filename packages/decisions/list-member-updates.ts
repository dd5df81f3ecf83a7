import type {MemberUpdate} from './member-update.ts';
import type {HostState} from './host-state.ts';

/** Milliseconds for which a change of liveness is passed on; the ring is crossed in less. */
const newsSpan = 10_000;

/**
 * Lists the recent changes of liveness, and this host itself.
 *
 * A host that drains tells that it is gone, so that others send it nothing new.
 */
export function listMemberUpdates({membership, isDraining}: HostState, now: number): readonly MemberUpdate[] {
	const recent = [...membership.members]
		.filter(([, member]) => now - member.changedAt <= newsSpan)
		.map(([id, member]) => ({id, incarnation: member.incarnation, isAlive: member.isAlive}));
	return [...recent, {id: membership.self, incarnation: membership.incarnation, isAlive: !isDraining}];
}
