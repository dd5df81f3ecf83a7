import type {MessageInitShape} from '@bufbuild/protobuf';
import type {JobAnswer} from '@sapphirefall/sessions';
import {
	JobResult, JobState, type RunJobResponse, type RunJobResponseSchema,
} from '@sapphirefall/wire';

type Message = Exclude<MessageInitShape<typeof RunJobResponseSchema>, RunJobResponse>;

const jobStates = {idle: JobState.IDLE, open: JobState.OPEN, failed: JobState.FAILED};

/** Encodes the answer to another host's job. */
export function encodeJobAnswer(answer: JobAnswer | 'notServed' | 'stopping' | undefined): Message {
	if (answer === undefined || answer === 'notServed' || answer === 'stopping') {
		return {result: JobResult.NOT_SERVED, stopping: answer === 'stopping'};
	}

	switch (answer.kind) {
		case 'lost': {
			return {result: JobResult.LOST, reason: answer.reason};
		}

		case 'notSent': {
			const {reason, isUnreachable = false, retryAfterMs} = answer;
			return {
				result: JobResult.NOT_SENT, reason, unreachable: isUnreachable, ...retryAfterMs !== undefined && {retryAfterMs},
			};
		}

		case 'answered': {
			const {outcome, state, position, transaction, spans} = answer;
			return {
				...outcome.kind === 'done'
					? {result: JobResult.DONE, rows: [...outcome.rows], signature: outcome.signature}
					: {result: JobResult.FAILED, code: outcome.code, reason: outcome.reason},
				state: jobStates[state],
				...position && {position},
				...spans && {spans},
				transaction: BigInt(transaction ?? 0),
			};
		}
	}
}
