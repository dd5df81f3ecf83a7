import {setTimeout as sleep} from 'node:timers/promises';
import {
	createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

/** Milliseconds between two attempts while nothing else holds the next one up. */
const pause = 20;

/** Milliseconds after which a caller may try again when the primary was not there. */
const retryAfter = 1000;

/**
 * Repeats attempts until one gives an answer, the deadline passes, or the retry budget is used up.
 *
 * Once an attempt may have run, the request cannot end as "not run" except by an attempt that settles it.
 */
export async function repeatAttempts(
	request: AdmittedRequest,
	options: {readonly context: ExecutionContext; readonly attempt: () => Promise<Attempt>},
): Promise<Answer> {
	const {context, attempt} = options;
	let mayHaveRun = false;
	let reason = 'no primary is known';
	do {
		const outcome = await attempt(); // eslint-disable-line no-await-in-loop -- attempts follow each other
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

		await sleep(pause); // eslint-disable-line no-await-in-loop -- attempts follow each other
	} while (context.now() < request.deadline);

	return mayHaveRun
		? {kind: 'unknown', code: resultCodes.deadlinePassed, reason}
		: createRefusal(resultCodes.primaryUnavailable, {reason, retryAfter});
}
