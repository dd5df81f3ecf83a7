import {create} from '@bufbuild/protobuf';
import {resultCodes, type Answer} from '@sapphirefall/decisions';
import {encodeResult, ExecuteResponseSchema, type ExecuteResponse} from '@sapphirefall/wire';

/**
 * Encodes an answer for a caller.
 *
 * @param answer The answer.
 * @param options The request's identifier, and the session token for the caller, which is empty for none.
 */
export function encodeAnswer(
	answer: Answer,
	options: {readonly requestId: string; readonly session: string},
): ExecuteResponse {
	const {requestId} = options;
	switch (answer.kind) {
		case 'done': {
			return create(ExecuteResponseSchema, {
				requestId,
				answer: {
					case: 'done',
					value: {
						code: resultCodes.done,
						results: answer.results.map(result => encodeResult(result)),
						session: options.session,
						replayed: answer.isReplayed,
						instance: answer.instance,
					},
				},
			});
		}

		case 'notRun': {
			return create(ExecuteResponseSchema, {
				requestId,
				answer: {case: 'notRun', value: {code: answer.code, reason: answer.reason, retryAfterMs: answer.retryAfter}},
			});
		}

		case 'unknown': {
			return create(ExecuteResponseSchema, {
				requestId, answer: {case: 'unknown', value: {code: answer.code, reason: answer.reason}},
			});
		}
	}
}
