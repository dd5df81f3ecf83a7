import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Milliseconds after which a case that has not ended counts as one that could not run. */
const caseTimeoutMs = 110_000;

const exitCodes = {held: 0, broken: 1, notRun: 2};

/**
 * Runs a case, which resolves to what broke the rule, or to undefined; ends the process with the exit code of the result.
 *
 * The case is given whether its disruption takes place (`hasTrouble`; not with `TROUBLE=0`), a function that writes a line to
 * its record, and one that registers what ends something that the case has started.
 */
export async function runCase(run) {
	const file = path.join(process.argv[2] ?? '.', 'record.txt');
	const hasTrouble = process.env.TROUBLE !== '0';
	const ends = [];
	writeFileSync(file, '');
	const record = line => {
		appendFileSync(file, `${(performance.now() / 1000).toFixed(3).padStart(8)} s  ${line}\n`);
	};

	const finish = (result, line) => {
		record(`result: ${result}: ${line}`);
		for (const end of ends.toReversed()) {
			end();
		}

		process.exit(exitCodes[result]); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result of the case
	};

	setTimeout(() => {
		finish('notRun', 'the case did not end in time');
	}, caseTimeoutMs).unref();
	process.on('uncaughtException', error => {
		finish('notRun', error.stack ?? error.message);
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			finish('notRun', `the case was ended by ${signal}`);
		});
	}

	record(hasTrouble ? 'the case runs with its disruption' : 'the case runs without its disruption');
	const broken = await run({
		hasTrouble,
		record,
		onEnd(end) {
			ends.push(end);
		},
	});
	finish(broken === undefined ? 'held' : 'broken', broken ?? 'the rule was kept');
}
