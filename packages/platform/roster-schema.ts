import {z} from 'zod';

/** Schema of the roster as stored in the table row, without the version of the row. */
export const rosterSchema = z.strictObject({
	epoch: z.number(),
	hosts: z.array(z.string()),
	homes: z.array(z.string()),
	acceptors: z.array(z.string()),
});
