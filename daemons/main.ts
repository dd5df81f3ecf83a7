import process from 'node:process';
import {cac} from 'cac';
import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';
import {runCheck} from './run-check.ts';
import {runServe} from './run-serve.ts';

const cli = cac('sapphirefall');

cli.command('serve <settings>', 'Run an entry host')
	.example('sapphirefall serve host.yaml')
	.action(runServe);

cli.command('check <settings>', 'Check a settings file and report every fault in it')
	.example('sapphirefall check host.yaml')
	.action(runCheck);

cli.help();
cli.version('0.1.0');

try {
	cli.parse(process.argv, {run: false});
	await cli.runMatchedCommand();
} catch (error) {
	process.exitCode = error instanceof CommandError ? error.code : resultCodes.usage;
	console.error((error as Error).message);
}
