import {create} from '@bufbuild/protobuf';
import {
	createFailure, createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import {ForwardResponseSchema, type ForwardRequest, type ForwardResponse} from '@sapphirefall/wire';
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
 * Executes a request that another host forwards, and answers a heartbeat.
 *
 * @param message What the other host sends.
 * @param options What executes a request, and the clocks.
 */
export async function executeForward(message: ForwardRequest, options: Options): Promise<ForwardResponse> {
	const {id, ping, time} = message;
	if (ping) {
		return create(ForwardResponseSchema, {id});
	}

	options.clock.observe(time);
	const answer = await executeDecoded(message, options);
	return encodeForwardAnswer(answer, {id, time: options.clock.tick()});
}

/** Executes a request; one that fails harms no other. */
async function executeDecoded(message: ForwardRequest, options: Options): Promise<Answer> {
	try {
		const request = decodeForward(message, options.now());
		return request === undefined
			? createRefusal(resultCodes.malformed, {reason: 'the forwarded request names no work'})
			: await options.execute(request);
	} catch {
		return createFailure();
	}
}
