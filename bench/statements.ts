/* eslint-disable no-await-in-loop -- one deployment after the other */
import path from 'node:path';
import process from 'node:process';
import cac from 'cac';
import {measureCalls} from './measure-calls.ts';
import {measureStatements} from './measure-statements.ts';

/** Directories of the checkouts to measure, by the name under which results are printed. */
type Checkouts = ReadonlyMap<string, string>;

/** Numbers of calls in flight at which the cost of a call is measured. */
const callsInFlight = [1, 4, 32];

const cli = cac('bench:statements');
cli.command('', 'Measure what a statement and an idle host cost, with hosts as processes over stand-ins')
	.option('--hosts <counts>', 'Numbers of hosts, joined by commas', {default: '3,9,30'})
	.option('--base <dir>', 'Checkout of another version to compare with')
	.option('--parts', 'Tell the parts of the program apart, which costs processor time itself')
	.action(async ({hosts, base, parts = false}: {readonly hosts: string | number; readonly base?: string; readonly parts?: boolean}) => {
		const own = path.join(import.meta.dirname, '..');
		const checkouts = new Map([['this', own], ...base === undefined ? [] : [['base', path.resolve(base)] as const]]);
		await printCallCosts();
		await printCosts(String(hosts).split(',').map(Number), {checkouts, isProfiled: parts});
	});
cli.help();
cli.parse();

async function printCallCosts(): Promise<void> {
	for (const inFlight of callsInFlight) {
		const microseconds = await measureCalls(inFlight);
		process.stdout.write(`a call between hosts, ${inFlight} in flight: ${microseconds.toFixed(0)} µs\n`);
	}
}

async function printCosts(counts: readonly number[], {checkouts, isProfiled}: {readonly checkouts: Checkouts; readonly isProfiled: boolean}): Promise<void> {
	for (const hostCount of counts) {
		for (const [name, checkout] of checkouts) {
			const cost = await measureStatements({hostCount, checkout, isProfiled});
			const figures = [`idle ${(cost.idleCoreShare * 100).toFixed(1)} % of a core a host`, `${cost.statementMs.toFixed(2)} ms a statement`, `median ${cost.medianMs.toFixed(1)} ms`];
			process.stdout.write(`${hostCount} hosts, ${name}: ${figures.join(', ')}\n`);
			const total = [...cost.msByComponent.values()].reduce((sum, elapsedMs) => sum + elapsedMs, 0);
			for (const [component, elapsedMs] of [...cost.msByComponent].toSorted((a, b) => b[1] - a[1])) {
				process.stdout.write(`    ${(100 * elapsedMs / total).toFixed(1).padStart(5)} %  ${component}\n`);
			}
		}
	}
}
