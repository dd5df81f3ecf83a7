import {z} from 'zod';

const share = z.number().min(0).max(1).default(0);

const workspace = z.strictObject({
	name: z.string().describe('Name of the workspace.'),
	key: z.string().describe('Key that its requests present.'),
	database: z.string().describe('Database that its requests use.'),
	offered: z.number().positive().describe('Requests per second on average. Arrival times are random and determined by the seed.'),
	rate: z.number().positive().describe('Units per second that the workspace may use; the limit for finding wrongful refusals.'),
	burst: z.number().positive().describe('Units that the workspace may use at once.'),
	sessions: z.number().int().min(1).default(8).describe('Number of sessions. The requests of a session go to all targets.'),
	write: share.describe('Relative share of writes.'),
	latest: share.describe('Relative share of reads of the latest state.'),
	session: share.describe('Relative share of reads in session.'),
	within: share.describe('Relative share of reads with bounded staleness.'),
	age: z.number().int().min(1).default(10_000).describe('Milliseconds. Staleness that a read with bounded staleness accepts.'),
});

/** Schema of a load plan. */
export const loadPlanSchema = z.strictObject({
	targets: z.array(z.url()).min(1).describe('URLs of the caller interfaces of the hosts.'),
	seed: z.number().int().default(1).describe('Seed of the random generator, which determines arrivals, classes, sessions and targets.'),
	duration: z.number().int().min(100).describe('Milliseconds. Length of the load.'),
	deadline: z.number().int().min(1).default(5000).describe('Milliseconds. Deadline of each request.'),
	costs: z.strictObject({
		write: z.number().default(4),
		latest: z.number().default(4),
		session: z.number().default(2),
		within: z.number().default(1),
	}).prefault({}).describe('Units that a request costs, by class.'),
	workspaces: z.array(workspace).min(1),
});
