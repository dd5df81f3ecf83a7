import process from 'node:process';

/**
 * Seed and number of runs of property tests: the same in each ordinary run. Set SAPPHIREFALL_MODEL_RUNS, and another
 * SAPPHIREFALL_MODEL_SEED, to run many more by hand.
 */
export const propertyOptions = {
	seed: Number(process.env['SAPPHIREFALL_MODEL_SEED'] ?? 35),
	numRuns: Number(process.env['SAPPHIREFALL_MODEL_RUNS'] ?? 2000),
} as const;
