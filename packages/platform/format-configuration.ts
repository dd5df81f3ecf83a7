/**
 * Formats a configuration as JSON, in which form it is stored and exchanged between hosts. A map becomes an object, whose
 * members are read back with `parseConfiguration`.
 *
 * @param indentation Text by which each level is indented; without one, the result is a single line.
 */
export function formatConfiguration(configuration: object, indentation?: string): string {
	return JSON.stringify(configuration, (_, value: unknown) => value instanceof Map ? Object.fromEntries(value) as unknown : value, indentation);
}
