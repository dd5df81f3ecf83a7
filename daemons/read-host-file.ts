import {readFileSync} from 'node:fs';
import {resultCodes} from '@sapphirefall/decisions';
import {hostSchema, parseSettings, type HostFile} from '@sapphirefall/settings';
import {CommandError} from './command-error.ts';

/**
 * Reads and checks the settings of an entry host.
 *
 * @param file Path of the YAML file.
 * @throws {CommandError} When the file cannot be read or has faults; the message lists all of them.
 */
export function readHostFile(file: string): HostFile {
	const outcome = parseSettings(readText(file), hostSchema);
	if (outcome.kind === 'valid') {
		return outcome.settings;
	}

	const lines = outcome.issues.map(({line, path, message}) => `${file}:${line}: ${path === '' ? 'The file' : path} ${message}`);
	throw new CommandError(resultCodes.settingsInvalid, lines.join('\n'));
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		throw new CommandError(resultCodes.settingsInvalid, `The settings file "${file}" cannot be read`);
	}
}
