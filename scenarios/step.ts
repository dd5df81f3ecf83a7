import type {Scenario} from './scenario.ts';

/** One step of a scenario. */
export type Step = Scenario['steps'][number];
