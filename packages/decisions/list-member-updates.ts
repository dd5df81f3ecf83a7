import type {MemberUpdate} from './member-update.ts';
import type {HostState} from './host-state.ts';

/** Time for which a change of liveness is passed on; it reaches all hosts of the ring in less. */
const updateRetentionMs = 10_000;

/**
 * Lists the member updates that a host sends: the recent changes of liveness, and this host itself.
 *
 * A draining host reports itself as dead, so that other hosts send it no new work.
 */
export function listMemberUpdates({membership, isDraining}: HostState, now: number): readonly MemberUpdate[] {
	const recent = [...membership.members]
		.filter(([, member]) => now - member.changedAt <= updateRetentionMs)
		.map(([id, member]) => ({id, incarnation: member.incarnation, isAlive: member.isAlive}));
	return [...recent, {id: membership.self, incarnation: membership.incarnation, isAlive: !isDraining}];
}
