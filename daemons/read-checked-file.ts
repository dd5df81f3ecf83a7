import {readFileSync} from 'node:fs';
import {resultCodes} from '@sapphirefall/decisions';
import {parseSettings} from '@sapphirefall/settings';
import type {z} from 'zod';
import {CommandError} from './command-error.ts';

/**
 * Reads a YAML file and validates it against a schema.
 *
 * @param file Path of the file.
 * @param schema Schema of the content.
 * @throws {CommandError} When the file cannot be read or is invalid. The message lists all errors with their lines.
 */
export function readCheckedFile<Schema extends z.ZodType>(file: string, schema: Schema): z.infer<Schema> {
	const outcome = parseSettings(readText(file), schema);
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
		throw new CommandError(resultCodes.settingsInvalid, `The file "${file}" cannot be read`);
	}
}
