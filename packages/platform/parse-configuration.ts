import {z} from 'zod';
import type {Configuration} from '@sapphirefall/decisions';
import {createNamesSchema} from './create-names-schema.ts';

const freshness = z.union([
	z.strictObject({kind: z.literal('latest')}),
	z.strictObject({kind: z.literal('session')}),
	z.strictObject({kind: z.literal('within'), age: z.number()}),
]);

const schema = z.strictObject({
	version: z.number(),
	changeId: z.string(),
	workspaces: createNamesSchema(z.strictObject({
		rate: z.number(), burst: z.number(), databases: z.array(z.string()),
	})),
	keys: createNamesSchema(z.strictObject({workspace: z.string(), digest: z.string()})),
	freshness: createNamesSchema(freshness),
	exceptions: z.array(z.strictObject({
		workspace: z.string(), kind: z.string(), freshness, reason: z.string(),
	})),
	routes: createNamesSchema(z.strictObject({
		workspace: z.string(), database: z.string(), sql: z.string(), freshness,
	})),
	costs: z.strictObject({
		write: z.number(), latest: z.number(), session: z.number(), within: z.number(),
	}),
});

/**
 * Parses a configuration from JSON, in which form it is stored and exchanged between hosts.
 *
 * @throws {Error} When the text is not JSON or does not match the schema.
 */
export function parseConfiguration(text: string): Configuration {
	return schema.parse(JSON.parse(text));
}
