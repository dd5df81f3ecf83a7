import type {LogPoint} from '@sapphirefall/decisions';
import type {LogEntry, Statement} from '@sapphirefall/wire';

/** The replicated log of an instance, with the database that results from its entries. */
export type ReplicaLog = {
	/** Returns the point of the last entry. */
	readonly lastPoint: () => LogPoint;
	/** Appends an entry whose statements have already run on the engine. */
	readonly append: (term: number, statements: readonly Statement[]) => void;
	/** Runs entries from the primary and appends them. */
	readonly apply: (entries: readonly LogEntry[]) => void;
	/** Returns the entry at a position. The first position is 1. */
	readonly readEntry: (position: bigint) => LogEntry | undefined;
	/** Lists the next batch of entries after a position. */
	readonly listAfter: (position: bigint) => readonly LogEntry[];
	/** Removes all entries after a position and rebuilds the database from the rest. */
	readonly truncate: (position: bigint) => void;
};
