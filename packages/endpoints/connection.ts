import type {Batch} from './batch.ts';
import type {BatchOutcome} from './batch-outcome.ts';

/** One connection to an instance. It serves one transaction at a time. */
export type Connection = {
	/** Runs a batch; an abort of the signal closes the connection and loses the answer. */
	readonly run: (batch: Batch, signal: AbortSignal) => Promise<BatchOutcome>;
	readonly close: () => void;
	readonly isClosed: () => boolean;
};
