import {connectOperator} from './connect-operator.ts';
import type {OperatorOptions} from './operator-options.ts';

/** Runs `sapphirefall drain`: asks a host to finish its running requests and exit. Does not wait for the exit. */
export async function runDrain(options: OperatorOptions): Promise<void> {
	await connectOperator(options, async client => client.drain({}));
	console.log(options.json === true ? '{"draining":true}' : 'The host takes no more requests');
}
