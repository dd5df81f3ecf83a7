import {create} from '@bufbuild/protobuf';
import {
	createFailure, createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import {ForwardResponseSchema, type ForwardRequest, type ForwardResponse} from '@sapphirefall/wire';
import {decodeForward} from './decode-forward.ts';
import {encodeForwardAnswer} from './encode-forward-answer.ts';

type Options = {
	/** Executes an admitted request. */
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Hybrid logical clock; orders events of this host after those of other hosts that it has observed. */
	readonly clock: HybridClock;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
};

/**
 * Executes a request that another host forwards, or answers a heartbeat.
 *
 * @param message Forwarded request or heartbeat.
 * @param options Function that executes the request, and clocks.
 */
export async function executeForward(message: ForwardRequest, options: Options): Promise<ForwardResponse> {
	const {id, ping, time} = message;
	if (ping) {
		return create(ForwardResponseSchema, {id});
	}

	options.clock.observe(time);
	const answer = await decodeAndExecute(message, options);
	return encodeForwardAnswer(answer, {id, time: options.clock.tick()});
}

/** Decodes and executes a request. An error becomes an answer, so that it does not end the stream and its other requests. */
async function decodeAndExecute(message: ForwardRequest, options: Options): Promise<Answer> {
	try {
		const request = decodeForward(message, options.now());
		return request === undefined
			? createRefusal(resultCodes.malformed, {reason: 'the forwarded request names no work'})
			: await options.execute(request);
	} catch {
		return createFailure();
	}
}
