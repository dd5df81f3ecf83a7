import {z} from 'zod';
import {rosterSchema} from './roster-schema.ts';
import type {ConfigurationHead} from './configuration-head.ts';

const schema = z.strictObject({
	roster: rosterSchema,
	object: z.string(),
	changes: z.array(z.strictObject({version: z.number(), changeId: z.string(), summary: z.string()})),
});

/**
 * Parses the value of the table row that refers to the configuration in force.
 *
 * @throws {Error} When the text is not JSON or does not match the schema.
 */
export function parseConfigurationHead(text: string): ConfigurationHead {
	return schema.parse(JSON.parse(text));
}
