/** Describes the values of a session, in the order of their names. */
export function describeValues(values: ReadonlyMap<string, string>): string {
	return [...values].map(([name, value]) => `${name}=${value}`).toSorted().join(' ');
}
