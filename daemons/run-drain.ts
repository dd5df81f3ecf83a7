import {connectOperator} from './connect-operator.ts';
import type {OperatorOptions} from './operator-options.ts';

/** Runs `sapphirefall drain`: the host finishes the requests that run and exits. */
export async function runDrain(options: OperatorOptions): Promise<void> {
	await connectOperator(options, async client => client.drain({}));
	console.log(options.json === true ? '{"draining":true}' : 'The host takes no more requests');
}
