import type {z} from 'zod';
import type {loadPlanSchema} from './load-plan-schema.ts';

/** What load to send, where, and how its results are judged. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
