import type {SqlResult, SqlStatement} from '@sapphirefall/decisions';

/** The embedded SQL engine of one instance. */
export type Engine = {
	/** Runs one statement. Throws the error of the engine if the statement fails. */
	readonly run: (statement: SqlStatement) => SqlResult;
	/** Replaces the database by an empty one. */
	readonly reset: () => void;
};
