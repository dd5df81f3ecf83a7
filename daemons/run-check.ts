import {hostSchema} from '@sapphirefall/settings';
import {readCheckedFile} from './read-checked-file.ts';

/** Runs `sapphirefall check`: checks a settings file and says that it is valid, or every fault in it. */
export function runCheck(file: string): void {
	const settings = readCheckedFile(file, hostSchema);
	console.log(`The settings of host "${settings.host.id}" are valid`);
}
