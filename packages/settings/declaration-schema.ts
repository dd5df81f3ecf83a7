import {z} from 'zod';
import {parseFreshness} from '@sapphirefall/decisions';

const freshness = z.string().refine(text => parseFreshness(text) !== undefined, {
	error: 'must be latest, session or within <age> such as "within 10s"',
});

/** The schema of a declaration for `sapphirefall apply`; a section that is absent stays as it is. */
export const declarationSchema = z.strictObject({
	workspaces: z.record(z.string(), z.strictObject({
		/** Units a second over the whole fleet. */
		rate: z.number().positive(),
		/** Units that may be used at once. */
		burst: z.number().positive(),
		databases: z.array(z.string()),
	})).optional(),
	/** Keys by name, with the SHA-256 digest in hexadecimal. */
	keys: z.record(z.string(), z.strictObject({
		workspace: z.string(),
		digest: z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 digest of 64 hexadecimal digits'),
	})).optional(),
	/** Fleet-wide freshness by kind of read. */
	freshness: z.record(z.string(), freshness).optional(),
	exceptions: z.array(z.strictObject({
		workspace: z.string(), kind: z.string(), freshness, reason: z.string().min(10),
	})).optional(),
	routes: z.record(z.string(), z.strictObject({
		workspace: z.string(), database: z.string(), sql: z.string(), freshness,
	})).optional(),
});
