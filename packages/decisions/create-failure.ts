import {resultCodes} from './result-codes.ts';
import type {Answer} from './answer.ts';

/** Creates an "unknown" answer to a request that an internal error of the host interrupted: the request may have run. */
export function createFailure(): Answer {
	return {kind: 'unknown', code: resultCodes.answerLost, reason: 'the host failed while it ran the request'};
}
