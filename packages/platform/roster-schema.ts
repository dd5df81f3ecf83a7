import {z} from 'zod';

/** The schema of a roster in the table row. */
export const rosterSchema = z.strictObject({
	epoch: z.number(),
	hosts: z.array(z.string()),
	homes: z.array(z.string()),
	acceptors: z.array(z.string()),
});
