import {admitJob} from './cold-instances/admit-job.ts';
import type {InstanceAdmission} from './cold-instances/instance-admission.ts';
import type {createJobTimer} from './create-job-timer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {sendSetup} from './send-setup.ts';

type Options = {
	readonly job: Extract<Job, {readonly kind: 'begin'}>;
	readonly send: InstanceRuntime['send'];
	/** Admits statements while the instance is cold. */
	readonly admission: InstanceAdmission;
	/** Time in milliseconds of the steady clock after which the beginning is not sent. */
	readonly deadline: number;
	readonly timer: ReturnType<typeof createJobTimer>;
	readonly maySend: () => boolean;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Time within which an instance must answer each request that sets up and begins a transaction. */
const beginTimeoutMs = 600;

/** Sends the session's values and the beginning of a transaction. */
export async function sendBegin(pooled: PooledConnection, {
	job: {setup, isReadOnly, after}, send, admission, deadline, timer, maySend, now,
}: Options): Promise<JobAnswer> {
	const admitted = await admitJob(admission, {maxWaitMs: 0, maySend});
	if (typeof admitted !== 'function') {
		return admitted;
	}

	const failure = await sendSetup(pooled, {
		setup, prepared: undefined, isInTransaction: false, send, timeout: beginTimeoutMs,
	});
	if (failure !== undefined) {
		return failure;
	}

	if (!maySend() || now() >= deadline || !admitted()) {
		return notSentAnswer;
	}

	timer.recordSent();
	return send(pooled, {kind: 'begin', isReadOnly, after}, Math.max(1, Math.min(beginTimeoutMs, deadline - now())));
}
