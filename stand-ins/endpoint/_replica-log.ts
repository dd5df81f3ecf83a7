import type {LogPoint} from '@sapphirefall/decisions';
import type {LogEntry, Statement} from '@sapphirefall/wire';

/** The log of an instance and the database that it makes. */
export type ReplicaLog = {
	readonly lastPoint: () => LogPoint;
	/** Appends an entry whose statements the engine has already run. */
	readonly append: (term: number, statements: readonly Statement[]) => void;
	/** Appends entries of a primary and runs them. */
	readonly apply: (entries: readonly LogEntry[]) => void;
	/** Entry at a position, from 1. */
	readonly readEntry: (position: bigint) => LogEntry | undefined;
	readonly listAfter: (position: bigint) => readonly LogEntry[];
	/** Drops all entries after a position and makes the database anew. */
	readonly truncate: (position: bigint) => void;
};
