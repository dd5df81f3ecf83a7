import {describeUnknownFreshness} from './describe-unknown-freshness.ts';
import {parseFreshness} from './parse-freshness.ts';
import type {Freshness} from './freshness.ts';

/**
 * Parses a freshness, and throws when the text is not one.
 *
 * @throws {Error} When the text is not a freshness; the message lists the allowed forms.
 */
export function requireFreshness(text: string): Freshness {
	const freshness = parseFreshness(text);
	if (freshness === undefined) {
		throw new Error(describeUnknownFreshness(text));
	}

	return freshness;
}
