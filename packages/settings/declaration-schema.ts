import {z} from 'zod';
import {parseFreshness} from '@sapphirefall/decisions';

const freshness = z.string().refine(text => parseFreshness(text) !== undefined, {
	error: 'must be latest, session or within <age> such as "within 10s"',
});

/** Creates the schema of a section whose entries have names; they become a map. `parseSettings` reports a name that a record would leave out. */
function named<Schema extends z.ZodType>(schema: Schema) {
	return z.record(z.string(), schema).transform(entries => new Map(Object.entries(entries)));
}

/** Schema of a declaration file for `sapphirefall apply`. A section that is absent from the file stays unchanged. */
export const declarationSchema = z.strictObject({
	workspaces: named(z.strictObject({
		/** Units per second over the whole fleet. */
		rate: z.number().positive(),
		/** Maximum units that the workspace can use at once. */
		burst: z.number().positive(),
		databases: z.array(z.string()),
	})).optional(),
	/** Keys by name, each with the SHA-256 digest of the key in hexadecimal. */
	keys: named(z.strictObject({
		workspace: z.string(),
		digest: z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 digest of 64 hexadecimal digits'),
	})).optional(),
	/** Fleet-wide default freshness by kind of read. */
	freshness: named(freshness).optional(),
	exceptions: z.array(z.strictObject({
		workspace: z.string(), kind: z.string(), freshness, reason: z.string().min(10),
	})).optional(),
	routes: named(z.strictObject({
		workspace: z.string(), database: z.string(), sql: z.string(), freshness,
	})).optional(),
});
