import {z} from 'zod';

/** A setting with its documentation. */
type SettingEntry = {
	/** Names from the root, joined by dots. */
	readonly path: string;
	/** Default value as JSON; empty if the setting has none. */
	readonly defaultJson: string;
	readonly description: string;
};

/** The properties of a JSON schema that `listSettings` reads. */
type JsonSchema = {
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly default?: unknown;
	readonly description?: string;
};

/** Lists the settings of a schema in the order of their declaration, to generate the settings page. */
export function listSettings(schema: z.ZodType): readonly SettingEntry[] {
	return listEntries('', z.toJSONSchema(schema, {io: 'input'}) as JsonSchema);
}

function listEntries(prefix: string, schema: JsonSchema): readonly SettingEntry[] {
	return Object.entries(schema.properties ?? {}).flatMap(([name, part]) => {
		const path = `${prefix}${name}`;
		return part.properties === undefined
			? [{
				path,
				defaultJson: part.default === undefined ? '' : JSON.stringify(part.default),
				description: part.description ?? '',
			}]
			: listEntries(`${path}.`, part);
	});
}
