import {z} from 'zod';

const share = z.number().min(0).max(1).default(0);

const workspace = z.strictObject({
	name: z.string().describe('Name of the workspace.'),
	key: z.string().describe('Key that its requests show.'),
	database: z.string().describe('Database that it uses.'),
	offered: z.number().positive().describe('Requests a second on average; arrivals are random and fixed in advance.'),
	rate: z.number().positive().describe('Units a second that the workspace may use; tells wrongful refusals.'),
	burst: z.number().positive().describe('Units that it may use at once.'),
	sessions: z.number().int().min(1).default(8).describe('Sessions, which roam over the targets.'),
	write: share.describe('Share of requests that write.'),
	latest: share.describe('Share that reads the latest state.'),
	session: share.describe('Share that reads in session.'),
	within: share.describe('Share that reads within the age.'),
	age: z.number().int().min(1).default(10_000).describe('Milliseconds. Age that a read within an age accepts.'),
});

/** The checked schema of a load plan. */
export const loadPlanSchema = z.strictObject({
	targets: z.array(z.url()).min(1).describe('URLs at which callers reach the hosts.'),
	seed: z.number().int().default(1).describe('Number. Fixes arrivals and kinds.'),
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
