import type {Freshness} from './freshness.ts';

/** Milliseconds per unit of an age. */
const millisecondsPerUnit: Readonly<Record<string, number>> = {ms: 1, s: 1000, m: 60_000};

/**
 * Parses a freshness such as `latest`, `session` or `within 5s`.
 *
 * @param text The text. An age has 1 to 6 digits and the unit `ms`, `s` or `m`.
 * @returns The freshness, or `undefined` when the text is not one.
 * @example
 * parseFreshness('within 5s'); // {kind: 'within', age: 5000}
 */
export function parseFreshness(text: string): Freshness | undefined {
	if (text === 'latest' || text === 'session') {
		return {kind: text};
	}

	const match = /^within (?<amount>\d{1,6})(?<unit>ms|s|m)$/v.exec(text);
	const unit = millisecondsPerUnit[match?.groups?.['unit'] ?? ''];
	if (unit === undefined) {
		return undefined;
	}

	return {kind: 'within', age: Number(match?.groups?.['amount']) * unit};
}
