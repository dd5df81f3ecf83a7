import type {Answer} from './answer.ts';
import type {ResultCode} from './result-code.ts';

/**
 * Creates a "not run" answer.
 *
 * @param code The reason as a number of the result-code table.
 * @param options The reason as a sentence without full stop, and the milliseconds after which a repeat may succeed.
 * @example
 * createRefusal(resultCodes.rateExceeded, {reason: 'the workspace is above its rate', retryAfter: 200});
 */
export function createRefusal(
	code: ResultCode,
	options: {readonly reason: string; readonly retryAfter?: number},
): Answer {
	return {
		kind: 'notRun', code, reason: options.reason, retryAfter: options.retryAfter ?? 0,
	};
}
