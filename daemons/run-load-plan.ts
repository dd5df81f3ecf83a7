import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {resultCodes} from '@sapphirefall/decisions';
import {
	createReport, formatSummary, loadPlanSchema, runLoad, summarizeLoad,
} from '@sapphirefall/load';
import {CommandError} from './command-error.ts';
import {readCheckedFile} from './read-checked-file.ts';

type Options = {readonly report?: string; readonly json?: boolean};

/**
 * Runs `sapphirefall load`: sends the load of a plan, checks the answers, and prints the measurements.
 *
 * @throws {CommandError} When the plan is invalid or an answer was wrong.
 */
export async function runLoadPlan(file: string, options: Options): Promise<void> {
	const plan = readCheckedFile(file, loadPlanSchema);
	const history = await runLoad(plan, {
		now: () => performance.now(),
		onProgress(sent, answered) {
			process.stderr.write(`${sent} sent, ${answered} answered\n`);
		},
	});
	const summary = summarizeLoad(plan, history);
	console.log(options.json === true ? JSON.stringify(summary) : formatSummary(summary));
	if (options.report !== undefined) {
		writeFileSync(options.report, await createReport({
			title: file, history, summary, faults: [],
		}));
	}

	const [violation] = summary.violations;
	if (violation !== undefined) {
		throw new CommandError(resultCodes.checkFailed, `Request ${violation.request} got a wrong answer: ${violation.kind}, ${violation.detail}`);
	}
}
