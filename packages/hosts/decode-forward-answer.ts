import type {Answer, ResultCode} from '@sapphirefall/decisions';
import {decodePoint, decodeResult, type ForwardResponse} from '@sapphirefall/wire';

/** Decodes a gateway's answer to a forwarded request; undefined if the message contains none. */
export function decodeForwardAnswer({answer}: ForwardResponse): Answer | undefined {
	switch (answer.case) {
		case 'done': {
			const {results, point, replayed, instance} = answer.value;
			return {
				kind: 'done',
				results: results.map(result => decodeResult(result)),
				point: point === undefined ? undefined : decodePoint(point),
				isReplayed: replayed,
				instance,
			};
		}

		case 'notRun': {
			const {code, reason, retryAfterMs: retryAfter} = answer.value;
			return {
				kind: 'notRun', code: code as ResultCode, reason, retryAfter,
			};
		}

		case 'unknown': {
			const {code, reason} = answer.value;
			return {kind: 'unknown', code: code as ResultCode, reason};
		}

		default: {
			return undefined;
		}
	}
}
