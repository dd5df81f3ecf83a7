import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';

/**
 * Requires an option or argument of the command line.
 *
 * @param value Its value, if it was given.
 * @param name Its name, such as `--rate`.
 * @throws {CommandError} When it was not given.
 */
export function requireOption<T>(value: T | undefined, name: string): T {
	if (value === undefined) {
		throw new CommandError(resultCodes.usage, `${name} must be given`);
	}

	return value;
}
