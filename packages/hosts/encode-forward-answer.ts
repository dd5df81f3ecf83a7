import {create} from '@bufbuild/protobuf';
import type {Answer} from '@sapphirefall/decisions';
import {encodeResult, ForwardResponseSchema, type ForwardResponse} from '@sapphirefall/wire';

/** Encodes a gateway's answer. */
export function encodeForwardAnswer(answer: Answer, id: number): ForwardResponse {
	switch (answer.kind) {
		case 'done': {
			return create(ForwardResponseSchema, {
				id,
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
			return create(ForwardResponseSchema, {id, answer: {case: 'notRun', value: {code, reason, retryAfterMs}}});
		}

		case 'unknown': {
			const {code, reason} = answer;
			return create(ForwardResponseSchema, {id, answer: {case: 'unknown', value: {code, reason}}});
		}
	}
}
