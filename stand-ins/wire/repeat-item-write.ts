import {repeatStatement} from './repeat-statement.ts';
import {sendStatement} from './send-statement.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	/** Text that the name of the item begins with. */
	readonly name: string;
	/** Milliseconds within which a write must be acknowledged. */
	readonly limitMs: number;
};

/** Writes items, each once, on the database with the latest state until a write is acknowledged; returns the item of that one. */
export async function repeatItemWrite({port, name, limitMs}: Options): Promise<string> {
	let item = '';
	let last = 'none was sent';
	const elapsed = await repeatStatement(async attempt => {
		item = `${name}-${attempt}`;
		const answer = await sendStatement({port, text: `WRITE ${item} of-${item}`});
		last = answer.result;
		return answer;
	}, {limitMs});
	if (elapsed === Number.POSITIVE_INFINITY) {
		throw new Error(`No write "${name}" was acknowledged for ${limitMs} ms; the last answer: ${last}`);
	}

	return item;
}
