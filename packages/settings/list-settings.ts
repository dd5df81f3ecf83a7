import {z} from 'zod';

/** One documented setting. */
type SettingEntry = {
	readonly path: string;
	/** The default as JSON; empty when the setting is required or has none. */
	readonly defaultJson: string;
	readonly description: string;
};

/** The parts of a JSON schema that settings use. */
type JsonSchema = {
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly default?: unknown;
	readonly description?: string;
};

/** Lists the settings of a schema, for the page that documents them. */
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
