import {randomUUID} from 'node:crypto';
import {resultCodes, type ResultCode} from '@sapphirefall/decisions';
import type {ChangeRequest} from '@sapphirefall/wire';
import {CommandError} from './command-error.ts';
import {connectOperator} from './connect-operator.ts';
import type {OperatorOptions} from './operator-options.ts';

/**
 * Sends a change to a host and prints the configuration version that contains it.
 *
 * @param change The change.
 * @param options Address and token of the host, and the version that the change is based on.
 * @throws {CommandError} When the change is refused or the host does not answer.
 */
export async function sendChange(change: ChangeRequest['change'], options: OperatorOptions): Promise<void> {
	const request = {changeId: randomUUID(), basedOn: options.basedOn ?? 0, change};
	const answer = await connectOperator(options, async client => client.change(request));
	if (answer.code !== resultCodes.done) {
		throw new CommandError(answer.code as ResultCode, `The change was not made: ${answer.reason}`);
	}

	console.log(options.json === true
		? JSON.stringify({version: answer.version})
		: `Configuration version ${answer.version} holds the change`);
}
