import process from 'node:process';
import {measureDecisions} from './measure-decisions.ts';
import {measureProcesses} from './measure-processes.ts';

for (const {what, unit, slope, intercept, fit} of measureDecisions()) {
	console.log(`${what}: ${slope.toPrecision(3)} ${unit}, from ${intercept.toPrecision(3)}, fit ${fit.toFixed(3)}`);
}

console.log(JSON.stringify(await measureProcesses(), undefined, '\t'));
process.exitCode = 0;
