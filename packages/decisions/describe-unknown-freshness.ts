/** Formats the error for a text that is not a valid freshness. */
export function describeUnknownFreshness(text: string): string {
	return `the freshness "${text}" is unknown; allowed are latest, session and within <age>`;
}
