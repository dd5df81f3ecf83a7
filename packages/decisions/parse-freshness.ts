import type {Freshness} from './freshness.ts';

const unitMilliseconds: Readonly<Record<string, number>> = {ms: 1, s: 1000, m: 60_000};

/**
 * Parses a freshness such as `latest`, `session` or `within 5s`.
 *
 * @param text The text; units are `ms`, `s` and `m`.
 * @returns The freshness, or `undefined` when the text is none.
 * @example
 * parseFreshness('within 5s'); // {kind: 'within', age: 5000}
 */
export function parseFreshness(text: string): Freshness | undefined {
	if (text === 'latest' || text === 'session') {
		return {kind: text};
	}

	const match = /^within (?<amount>\d{1,6})(?<unit>ms|s|m)$/v.exec(text);
	const unit = unitMilliseconds[match?.groups?.['unit'] ?? ''];
	if (unit === undefined) {
		return undefined;
	}

	return {kind: 'within', age: Number(match?.groups?.['amount']) * unit};
}
