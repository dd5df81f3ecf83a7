import type {RequestOutcome} from './request-outcome.ts';

/** History of a finished load: the outcomes of its requests, and the rows in the databases afterwards. */
export type LoadHistory = {
	readonly outcomes: readonly RequestOutcome[];
	/** Number of rows that each write left in its database, by request id. */
	readonly rows: ReadonlyMap<string, number>;
};
