import type {SqlResult, SqlStatement} from '@sapphirefall/decisions';

/** The embedded SQL engine of one instance. */
export type Engine = {
	/** Runs one statement; throws the engine's error. */
	readonly run: (statement: SqlStatement) => SqlResult;
	/** Empties the database. */
	readonly reset: () => void;
};
