import {resultCodes} from './result-codes.ts';
import type {Answer} from './answer.ts';

/** Creates the answer to a request whose execution ended in an error of the host: it may have run. */
export function createFailure(): Answer {
	return {kind: 'unknown', code: resultCodes.answerLost, reason: 'the host failed while it ran the request'};
}
