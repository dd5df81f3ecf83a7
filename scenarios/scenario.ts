import type {z} from 'zod';
import type {scenarioSchema} from './scenario-schema.ts';

/** A scripted scenario: a cluster, and steps with their expected results. */
export type Scenario = z.infer<typeof scenarioSchema>;
