import {describeUnknownFreshness} from './describe-unknown-freshness.ts';
import {parseFreshness} from './parse-freshness.ts';
import type {Freshness} from './freshness.ts';

/**
 * Parses a freshness that must be one.
 *
 * @throws {Error} When the text is none; the message says what is allowed.
 */
export function requireFreshness(text: string): Freshness {
	const freshness = parseFreshness(text);
	if (freshness === undefined) {
		throw new Error(describeUnknownFreshness(text));
	}

	return freshness;
}
