import process from 'node:process';
import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';
import {createCommandLine} from './create-command-line.ts';

const cli = createCommandLine();
try {
	cli.parse(process.argv, {run: false});
	const isHelpOrVersion = cli.options['help'] === true || cli.options['version'] === true;
	if (cli.matchedCommand === undefined && !isHelpOrVersion) {
		const [name] = cli.args;
		throw new CommandError(resultCodes.usage, name === undefined
			? 'A command must be given; --help lists them'
			: `The command "${name}" does not exist; --help lists all`);
	}

	await cli.runMatchedCommand();
} catch (error) {
	process.exitCode = error instanceof CommandError ? error.code : resultCodes.usage;
	console.error((error as Error).message);
}
