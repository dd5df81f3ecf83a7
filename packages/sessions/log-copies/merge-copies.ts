import {isSameCopy} from './is-same-copy.ts';
import type {LogCopy} from './log-copy.ts';
import {maxCopies} from './max-copies.ts';

/** Adds the copies of the listed instances to those that are known, up to a limit; returns the known ones themselves if none is new. */
export function mergeCopies(known: readonly LogCopy[], listed: readonly LogCopy[]): readonly LogCopy[] {
	const added = listed.filter(copy => !known.some(other => isSameCopy(copy, other))).slice(0, Math.max(0, maxCopies - known.length));
	return added.length === 0 ? known : [...known, ...added.map(({id, born}) => ({id, ...born !== undefined && {born}}))];
}
