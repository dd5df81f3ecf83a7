import {resultCodes} from '@sapphirefall/decisions';
import {CommandError} from './command-error.ts';

/**
 * Chooses the action of a command by its name.
 *
 * @param name The name that was given.
 * @param actions The actions that there are.
 * @throws {CommandError} When there is no action of the name.
 */
export function chooseAction<Action>(name: string, actions: Readonly<Record<string, Action>>): Action {
	const action = actions[name];
	if (action === undefined) {
		throw new CommandError(resultCodes.usage, `The action "${name}" is none of ${Object.keys(actions).join(', ')}`);
	}

	return action;
}
