import type {Answer} from './answer.ts';
import type {ResultCode} from './result-code.ts';

/**
 * Creates a "not run" answer.
 *
 * @param code The result code.
 * @param options The reason as a sentence without a full stop, and the milliseconds after which a retry may succeed.
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
