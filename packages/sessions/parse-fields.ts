/** Parses the fields of a JSON object that another program wrote; without fields if the text is not an object. */
export function parseFields(text: string): Readonly<Record<string, unknown>> {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : {};
	} catch {
		// The caller reports what lacks the fields that it needs.
		return {};
	}
}
