import {create} from '@bufbuild/protobuf';
import type {Answer} from '@sapphirefall/decisions';
import {encodeResult, ForwardResponseSchema, type ForwardResponse} from '@sapphirefall/wire';

/** Number of the request on the channel, and hybrid logical time of the sender. */
type Header = {readonly id: number; readonly time: bigint};

/** Encodes a gateway's answer to a forwarded request. */
export function encodeForwardAnswer(answer: Answer, header: Header): ForwardResponse {
	switch (answer.kind) {
		case 'done': {
			return create(ForwardResponseSchema, {
				...header,
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
			return create(ForwardResponseSchema, {...header, answer: {case: 'notRun', value: {code, reason, retryAfterMs}}});
		}

		case 'unknown': {
			const {code, reason} = answer;
			return create(ForwardResponseSchema, {...header, answer: {case: 'unknown', value: {code, reason}}});
		}
	}
}
