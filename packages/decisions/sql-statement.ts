import type {SqlValue} from './sql-value.ts';

/** One SQL statement with positional parameters. */
export type SqlStatement = {
	readonly sql: string;
	readonly parameters: readonly SqlValue[];
};
