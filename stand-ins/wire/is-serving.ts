import {repeatStatement} from './repeat-statement.ts';
import {sendStatement} from './send-statement.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	readonly database: string;
	readonly text: string;
	/** Milliseconds within which the statement must succeed. */
	readonly limitMs: number;
};

/** Repeats a statement, on a connection of its own each time, until it succeeds; returns whether it did in time. */
export async function isServing({port, database, text, limitMs}: Options): Promise<boolean> {
	return await repeatStatement(async () => sendStatement({port, database, text}), {limitMs}) < Number.POSITIVE_INFINITY;
}
