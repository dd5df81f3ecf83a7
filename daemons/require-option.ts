import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';

/**
 * Returns the value of a required option or argument.
 *
 * @param value Value, or `undefined` when it was not given.
 * @param name Name for the error message, such as `--rate`.
 * @throws {CommandError} When the value is `undefined`.
 */
export function requireOption<T>(value: T | undefined, name: string): T {
	if (value === undefined) {
		throw new CommandError(resultCodes.usage, `${name} must be given`);
	}

	return value;
}
