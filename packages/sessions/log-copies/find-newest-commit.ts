import type {LogPoint} from '@sapphirefall/decisions';
import {addCommitMark} from './add-commit-mark.ts';
import type {CommitMark} from './commit-mark.ts';
import type {LogMark} from './log-mark.ts';

/** What a host has told that no longer uses a replaced primary. */
type Report = {
	/** How far the log of the latest primary had grown that the host knows of; undefined if it has got no answer of one. */
	readonly mark: Pick<LogMark, 'epoch'> | undefined;
	/** The newest commit that the host has acknowledged; undefined if it knows of none. */
	readonly commit: CommitMark | undefined;
};

/**
 * Finds a position beyond which a commit of the latest primary was acknowledged; undefined if no host knows of one.
 *
 * Commits of earlier primaries do not count: what has become of them was decided when those were replaced.
 */
export function findNewestCommit(reports: readonly Report[]): LogPoint | undefined {
	const epochs = reports.flatMap(({mark, commit}) => [mark?.epoch ?? 0, commit?.epoch ?? 0]);
	const newestEpoch = Math.max(0, ...epochs);
	let newest: CommitMark | undefined;
	for (const {commit} of reports) {
		if (commit?.epoch === newestEpoch) {
			newest = addCommitMark(newest, commit);
		}
	}

	return newest?.after;
}
