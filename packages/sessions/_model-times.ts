import process from 'node:process';

/** Times of the models of leases and of the right to order promotions, and the number of random schedules of each. */
export const modelTimes = {
	/** Number of random schedules; set SAPPHIREFALL_MODEL_RUNS to run many more by hand. */
	runs: Number(process.env['SAPPHIREFALL_MODEL_RUNS'] ?? 3000),
	/** Milliseconds between two steps of a schedule. */
	stepMs: 50,
} as const;
