import {create} from '@bufbuild/protobuf';
import type {Answer} from '@sapphirefall/decisions';
import {encodeResult, ForwardResponseSchema, type ForwardResponse} from '@sapphirefall/wire';

/** Number of the request on the channel, and the sender's hybrid time. */
type Frame = {readonly id: number; readonly time: bigint};

/** Encodes a gateway's answer. */
export function encodeForwardAnswer(answer: Answer, frame: Frame): ForwardResponse {
	switch (answer.kind) {
		case 'done': {
			return create(ForwardResponseSchema, {
				...frame,
				answer: {
					case: 'done',
					value: {
						results: answer.results.map(result => encodeResult(result)),
						...(answer.point === undefined ? {} : {point: answer.point}),
						replayed: answer.isReplayed,
						instance: answer.instance,
					},
				},
			});
		}

		case 'notRun': {
			const {code, reason, retryAfter: retryAfterMs} = answer;
			return create(ForwardResponseSchema, {...frame, answer: {case: 'notRun', value: {code, reason, retryAfterMs}}});
		}

		case 'unknown': {
			const {code, reason} = answer;
			return create(ForwardResponseSchema, {...frame, answer: {case: 'unknown', value: {code, reason}}});
		}
	}
}
