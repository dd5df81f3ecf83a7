import type {z} from 'zod';
import type {loadPlanSchema} from './load-plan-schema.ts';

/** Plan of a load: what to send, to which hosts, and the limits against which the answers are checked. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
