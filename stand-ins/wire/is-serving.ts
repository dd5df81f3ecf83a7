import {repeatStatement} from './repeat-statement.ts';
import {sendStatement} from './send-statement.ts';
import type {WireAnswer} from './wire-answer.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	readonly database: string;
	readonly text: string;
	/** Milliseconds within which the statement must succeed. */
	readonly limitMs: number;
	/** Called with each answer. */
	readonly onAnswer?: (answer: WireAnswer) => void;
};

/** Repeats a statement, on a connection of its own each time, until it succeeds; returns whether it did in time. */
export async function isServing({
	port, database, text, limitMs, onAnswer,
}: Options): Promise<boolean> {
	const send = async () => {
		const answer = await sendStatement({port, database, text});
		onAnswer?.(answer);
		return answer;
	};

	return await repeatStatement(send, {limitMs}) < Number.POSITIVE_INFINITY;
}
