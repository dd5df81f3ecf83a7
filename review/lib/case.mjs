import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Milliseconds after which a case that has not ended counts as one that could not run. */
const caseTimeoutMs = 110_000;

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param folder Folder of the case, which gets `record.txt`.
 * @param run Runs the case; resolves with what broke the rule, one line each.
 */
export async function runCase(folder, run) {
	const file = path.join(folder, 'record.txt');
	const hasTrouble = process.env.TROUBLE !== '0';
	const startedAt = performance.now();
	const closers = [];
	writeFileSync(file, `disruption: ${hasTrouble ? 'yes' : 'no'}\n`);
	/** Writes a line to the record, with the milliseconds since the start. */
	const record = line => {
		appendFileSync(file, `${(performance.now() - startedAt).toFixed(0).padStart(6)} ${line}\n`);
	};

	const close = async () => {
		for (const closer of closers.toReversed()) {
			await closer(); // eslint-disable-line no-await-in-loop -- closed in order
		}
	};

	const exit = async code => {
		await close();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result
	};

	const timer = setTimeout(() => {
		record('result: the case did not end in time');
		exit(2);
	}, caseTimeoutMs);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			exit(2);
		});
	}

	try {
		const broken = await run({
			record,
			hasTrouble,
			/** Registers what to close at the end. */
			onEnd(closer) {
				closers.push(closer);
			},
		});
		clearTimeout(timer);
		for (const line of broken) {
			record(`broken: ${line}`);
		}

		record(`result: ${broken.length > 0 ? 'the rule was broken' : 'the rule held'}`);
		console.log(broken.length > 0 ? `broken: ${broken[0]}` : 'held');
		await exit(broken.length > 0 ? 1 : 0);
	} catch (error) {
		record(`result: the case could not run: ${error.message}`);
		console.error(error);
		await exit(2);
	}
}
