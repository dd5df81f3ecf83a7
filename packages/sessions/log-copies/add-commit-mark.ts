import {comparePoints} from '@sapphirefall/decisions';
import type {CommitMark} from './commit-mark.ts';

/** Joins what is known of acknowledged commits with another one: that of the later primary counts, or the one farther in the log. */
export function addCommitMark(known: CommitMark | undefined, added: CommitMark): CommitMark {
	if (known === undefined || added.epoch > known.epoch) {
		return added;
	}

	return added.epoch === known.epoch && comparePoints(added.after, known.after) > 0 ? added : known;
}
