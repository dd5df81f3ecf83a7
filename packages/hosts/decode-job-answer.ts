import type {JobAnswer, StatementOutcome} from '@sapphirefall/sessions';
import {
	decodePoint, JobResult, JobState, type RunJobResponse,
} from '@sapphirefall/wire';

type FailureCode = Extract<StatementOutcome, {readonly kind: 'failed'}>['code'];

/** Decodes a gateway's answer to a job; undefined if the kind of result is unspecified. */
export function decodeJobAnswer(message: RunJobResponse): JobAnswer | 'notServed' | 'stopping' | undefined {
	const {result, rows, signature, code, reason} = message;
	switch (result) {
		case JobResult.NOT_SERVED: {
			return message.stopping ? 'stopping' : 'notServed';
		}

		case JobResult.NOT_SENT: {
			const {unreachable: isUnreachable, retryAfterMs} = message;
			return {
				kind: 'notSent', reason, isUnreachable, ...retryAfterMs !== undefined && {retryAfterMs},
			};
		}

		case JobResult.LOST: {
			return {kind: 'lost', reason};
		}

		case JobResult.DONE: {
			return {kind: 'answered', outcome: {kind: 'done', rows, signature}, ...decodeAnswerDetails(message)};
		}

		case JobResult.FAILED: {
			return {kind: 'answered', outcome: {kind: 'failed', code: code as FailureCode, reason}, ...decodeAnswerDetails(message)};
		}

		case JobResult.UNSPECIFIED: {
			return undefined;
		}
	}
}

function decodeAnswerDetails({state, position, transaction, spans}: RunJobResponse): Omit<Extract<JobAnswer, {readonly kind: 'answered'}>, 'kind' | 'outcome'> {
	return {
		state: state === JobState.IDLE ? 'idle' : (state === JobState.OPEN ? 'open' : 'failed'),
		position: position && decodePoint(position),
		transaction: transaction === 0n ? undefined : Number(transaction),
		spans: spans && {
			way: 0, queue: spans.queue, open: spans.open, setup: spans.setup, instance: spans.instance,
		},
	};
}
