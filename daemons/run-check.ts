import {hostSchema} from '@sapphirefall/settings';
import {readCheckedFile} from './read-checked-file.ts';

/**
 * Runs `sapphirefall check`: validates a settings file.
 *
 * @throws {CommandError} When the file is invalid. The message lists all errors.
 */
export function runCheck(file: string): void {
	const settings = readCheckedFile(file, hostSchema);
	console.log(`The settings of host "${settings.host.id}" are valid`);
}
