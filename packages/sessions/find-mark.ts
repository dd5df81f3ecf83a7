import {createHash} from 'node:crypto';

/** Characters of a text above which its mark is its digest. */
const maxTextLength = 1024;

/**
 * Finds the mark by which a text is remembered: a short text itself, or the digest of a long one. Marks of different texts
 * differ, since a digest begins with a line end, which no text of a message contains.
 */
export function findMark(text: string): string {
	return text.length <= maxTextLength ? text : `\r\n${createHash('sha256').update(text, 'latin1').digest('hex')}`;
}
