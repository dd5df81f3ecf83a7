/** Describes a text that should have been a freshness and is none. */
export function describeUnknownFreshness(text: string): string {
	return `the freshness "${text}" is unknown; allowed are latest, session and within <age>`;
}
