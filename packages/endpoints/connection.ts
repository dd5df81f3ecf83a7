import type {Batch} from './batch.ts';
import type {BatchOutcome} from './batch-outcome.ts';

/** A connection to an instance. Serves one transaction at a time. */
export type Connection = {
	/** Runs a batch. Aborting the signal closes the connection and discards the answer. */
	readonly run: (batch: Batch, signal: AbortSignal) => Promise<BatchOutcome>;
	readonly close: () => void;
	readonly isClosed: () => boolean;
};
