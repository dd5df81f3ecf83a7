import {isCount} from '../is-count.ts';
import {isName} from '../is-name.ts';
import type {LogCopy} from './log-copy.ts';
import {maxCopies} from './max-copies.ts';

/** Decodes the copies in the row of a group; undefined if it is no list or too long, or an entry of it is no copy. */
export function decodeCopies(value: unknown): readonly LogCopy[] | undefined {
	if (!Array.isArray(value) || value.length > maxCopies) {
		return undefined;
	}

	const copies = value.map(entry => decodeCopy(entry));
	return copies.includes(undefined) ? undefined : copies.filter(copy => copy !== undefined);
}

function decodeCopy(entry: unknown): LogCopy | undefined {
	const {id, born} = typeof entry === 'object' && entry !== null ? entry as Readonly<Record<string, unknown>> : {};
	return isName(id) && (born === undefined || isCount(born)) ? {id, ...born !== undefined && {born}} : undefined;
}
