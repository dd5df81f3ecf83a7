import type {RequestOutcome} from './request-outcome.ts';

/** A load that has ended: what came back, and what the databases hold afterwards. */
export type LoadHistory = {
	readonly outcomes: readonly RequestOutcome[];
	/** How often each request's row is in its database. */
	readonly rows: ReadonlyMap<string, number>;
};
