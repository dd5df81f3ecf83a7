import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';

/**
 * Chooses an action of a command by name.
 *
 * @param name Name given on the command line.
 * @param actions Actions of the command, by name.
 * @throws {CommandError} When no action has this name.
 */
export function chooseAction<Action>(name: string, actions: Readonly<Record<string, Action>>): Action {
	const action = Object.hasOwn(actions, name) ? actions[name] : undefined;
	if (action === undefined) {
		throw new CommandError(resultCodes.usage, `The action "${name}" is none of ${Object.keys(actions).join(', ')}`);
	}

	return action;
}
