import {setTimeout as sleep} from 'node:timers/promises';
import type {BatchResponse} from '@sapphirefall/wire';
import type {AnswerFault} from './answer-fault.ts';

type Options = {
	readonly readFault: () => AnswerFault;
	readonly takeDrop: () => boolean;
	readonly send: (response: BatchResponse) => void;
};

/** Added to the identifier of a batch to get one that no batch uses. */
const strayIdOffset = 1_000_000;

/** Sends an answer subject to the current fault: delayed, dropped, or surrounded by stray answers. */
export async function sendWithFault(response: BatchResponse, options: Options): Promise<void> {
	const fault = options.readFault();
	if (fault.delayMs > 0) {
		await sleep(fault.delayMs);
	}

	if (options.takeDrop()) {
		return;
	}

	if (fault.hasStrays) {
		options.send({...response, id: response.id + strayIdOffset, results: []});
		options.send({...response, id: Math.max(0, response.id - 1), results: []});
	}

	options.send(response);
	if (fault.hasStrays) {
		options.send({...response, results: []});
	}
}
