import type {CommitMark} from './log-copies/commit-mark.ts';
import type {PrimaryPosition} from './primary-position.ts';

/** What a host answers that was asked to release its lease on the primary of a group. */
export type FenceAnswer = {
	/** Whether the host knows the group and uses no primary of an earlier epoch any more. */
	readonly isFenced: boolean;
	/** Milliseconds since the process of the host started; undefined if its version does not tell. */
	readonly uptimeMs?: number;
	/** Newest position of the primary's log that the host has learned from it, and how long ago it last asked; undefined if it never did. */
	readonly newest?: PrimaryPosition;
	/** The newest commit that the host has acknowledged; undefined if it knows of none. */
	readonly commit?: CommitMark;
};
