import {setTimeout as sleep} from 'node:timers/promises';
import {
	createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

/** Least milliseconds between two attempts, for those that fail at once. */
const attemptDelayMs = 20;

/** Milliseconds after which a caller may retry when no primary was available. */
const unavailableRetryAfterMs = 1000;

/**
 * Repeats attempts until one is answered or refused, the deadline passes, or the retry budget is used up.
 *
 * Once an attempt may have run, the answer is "unknown" instead of "not run", unless a later attempt was answered and
 * so tells what became of the earlier ones.
 */
export async function repeatAttempts(
	request: AdmittedRequest,
	options: {readonly context: ExecutionContext; readonly attempt: () => Promise<Attempt>},
): Promise<Answer> {
	const {context, attempt} = options;
	let mayHaveRun = false;
	let reason = 'no primary is known';
	do {
		const outcome = await attempt(); // eslint-disable-line no-await-in-loop -- attempts run one after the other
		if (outcome.kind === 'refused' && mayHaveRun) {
			return {kind: 'unknown', code: resultCodes.answerLost, reason};
		}

		if (outcome.kind !== 'failed') {
			return outcome.answer;
		}

		mayHaveRun ||= outcome.mayHaveRun;
		({reason} = outcome);
		context.onAttemptFailed(reason);
		if (!context.takeRetry()) {
			break;
		}

		await sleep(attemptDelayMs); // eslint-disable-line no-await-in-loop -- attempts run one after the other
	} while (context.now() < request.deadline);

	return mayHaveRun
		? {kind: 'unknown', code: resultCodes.deadlinePassed, reason}
		: createRefusal(resultCodes.primaryUnavailable, {reason, retryAfter: unavailableRetryAfterMs});
}
