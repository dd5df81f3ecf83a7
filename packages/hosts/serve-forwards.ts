import {create} from '@bufbuild/protobuf';
import {
	createFailure, createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import {
	createQueue, ForwardResponseSchema, type ForwardRequest, type ForwardResponse,
} from '@sapphirefall/wire';
import {decodeForward} from './decode-forward.ts';
import {encodeForwardAnswer} from './encode-forward-answer.ts';

type Options = {
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Orders what happens here after what the other host has seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
};

/**
 * Serves the requests that another host forwards; each answer goes out when it is ready.
 *
 * @param messages What the other host sends.
 * @param options What executes a request, and the clock.
 */
export async function * serveForwards(
	messages: AsyncIterable<ForwardRequest>,
	options: Options,
): AsyncGenerator<ForwardResponse> {
	const responses = createQueue<ForwardResponse>();

	const run = async (message: ForwardRequest) => {
		options.clock.observe(message.time);
		const request = decodeForward(message, options.now());
		const answer = request === undefined
			? createRefusal(resultCodes.malformed, {reason: 'the forwarded request names no work'})
			: await execute(request, options);
		responses.push(encodeForwardAnswer(answer, {id: message.id, time: options.clock.tick()}));
	};

	const read = async () => {
		for await (const message of messages) {
			if (message.ping) {
				responses.push(create(ForwardResponseSchema, {id: message.id}));
			} else {
				void run(message);
			}
		}
	};

	read().catch(() => undefined).finally(responses.end); // eslint-disable-line promise/prefer-await-to-then
	yield * responses;
}

/** Executes a request; one that fails harms no other. */
async function execute(request: AdmittedRequest, options: Options): Promise<Answer> {
	try {
		return await options.execute(request);
	} catch {
		return createFailure();
	}
}
