import type {JobAnswer} from '../job-answer.ts';
import {notSentAnswer} from '../not-sent-answer.ts';
import {coldAnswer} from './cold-answer.ts';
import type {InstanceAdmission} from './instance-admission.ts';

type Options = {
	/** Longest wait for a permit in milliseconds. */
	readonly maxWaitMs: number;
	/** Whether the job may still be sent otherwise. */
	readonly maySend: () => boolean;
};

/**
 * Admits a job to an instance that may be cold; a job that may not be sent takes no permit from others.
 *
 * @returns A function that says immediately before the job is sent whether it may be, or the answer to a job that is not sent.
 */
export async function admitJob(admission: InstanceAdmission, {maxWaitMs, maySend}: Options): Promise<(() => boolean) | JobAnswer> {
	if (admission.isCold() && !maySend()) {
		return notSentAnswer;
	}

	return await admission.admit(maxWaitMs) ?? coldAnswer;
}
