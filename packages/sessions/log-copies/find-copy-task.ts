import {listMissingCopies} from './list-missing-copies.ts';
import type {LogCopy} from './log-copy.ts';
import {mergeCopies} from './merge-copies.ts';

/** What is to be done about the copies in the row of a group: write others, or check whether the missing ones are still needed. */
type CopyTask =
	| {readonly kind: 'write'; readonly copies: readonly LogCopy[] | undefined}
	| {readonly kind: 'check'; readonly missing: readonly LogCopy[]};

type Options = {
	/** Whether a replica must have received a commit before it is acknowledged. */
	readonly isSynchronous: boolean;
	/** Copies in the row of the group; undefined if it has none. */
	readonly copies: readonly LogCopy[] | undefined;
	/** Copies of the instances that the platform lists. */
	readonly listed: readonly LogCopy[];
	/** Instance that leads the group. */
	readonly primary: string;
};

/** Finds what is to be done so that the row of a group names each log that may hold acknowledged commits; undefined if it does. */
export function findCopyTask({isSynchronous, copies, listed, primary}: Options): CopyTask | undefined {
	if (!isSynchronous) {
		return copies === undefined ? undefined : {kind: 'write', copies: undefined};
	}

	const merged = mergeCopies(copies ?? [], listed);
	if (merged.length > (copies?.length ?? 0)) {
		return {kind: 'write', copies: merged};
	}

	const missing = listMissingCopies({copies: merged, listed, primary});
	// A primary that has started again does not tell what it had acknowledged before.
	return missing.length === 0 || missing.some(({id}) => id === primary) ? undefined : {kind: 'check', missing};
}
