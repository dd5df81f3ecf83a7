import type {FenceAnswer} from './fence-answer.ts';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {SessionGroup} from './session-group.ts';

type Options = {
	/** When this host may first have used a primary, in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly now: Instant;
};

/** Creates the answer of a host that has released its lease on the primary of a group; `group` is undefined if it does not know the group. */
export function createFenceAnswer(group: Pick<SessionGroup, 'name' | 'findLogMark' | 'findCommitMark'> | undefined, {startedAt, now}: Options): FenceAnswer {
	const mark = group?.findLogMark();
	const commit = group?.findCommitMark();
	return {
		isFenced: group !== undefined,
		uptimeMs: now.steady - startedAt,
		...group && mark && {
			newest: {
				group: group.name, epoch: mark.epoch, position: mark.position, age: findElapsed(mark.requestedAt, now),
			},
		},
		...commit && {commit},
	};
}
