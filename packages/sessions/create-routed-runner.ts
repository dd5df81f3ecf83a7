/* eslint-disable no-await-in-loop -- hosts are tried one after the other */
import type {applyObservation} from './apply-observation.ts';
import type {Gateways} from './gateways.ts';
import {isRetryable} from './is-retryable.ts';
import type {JobAnswer} from './job-answer.ts';
import type {JobRunner} from './job-runner.ts';
import type {JobSpans} from './job-spans.ts';
import type {Job} from './job.ts';
import type {ListedInstance} from './listed-instance.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import type {DispatchJob} from './dispatch-job.ts';

type Options = {
	readonly listed: () => ListedInstance;
	/** Runs jobs on this host's own connections to the instance. */
	readonly local: JobRunner;
	readonly gateways: Gateways;
	readonly recordObservation: (observation: Parameters<typeof applyObservation>[1]['observation']) => void;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Answer to a job that no gateway may receive. */
const restrictedAnswer: JobAnswer = {kind: 'notSent', reason: 'no gateway is in an allowed region'};

/**
 * Creates the function that routes jobs to an instance, through this host's own connections or through a gateway.
 *
 * A gateway that accepts no work, or is unreachable, is skipped, and so is one that may not receive the text of the job. A gateway that received a job which must not be retried,
 * and does not answer, may have run the job: the answer then counts as lost.
 */
export function createRoutedRunner({listed, local, gateways, recordObservation, now}: Options): DispatchJob {
	const createGatewayRunner = (host: string): ((job: Job) => Promise<JobAnswer | 'notServed'>) => async job => {
		const sentAt = now();
		const answer = await gateways.runJob(host, listed(), job);
		if (answer === undefined) {
			return {kind: 'lost', reason: `The gateway ${host} gave no answer.`};
		}

		if (answer !== 'notServed' && answer.kind === 'answered') {
			const elapsed = now() - sentAt;
			recordObservation({kind: 'answered', latency: job.kind === 'single' ? elapsed : undefined, position: answer.position});
			return {...answer, spans: answer.spans && {...answer.spans, way: elapsed - sumSpans(answer.spans)}};
		}

		if (answer !== 'notServed' && answer.kind === 'lost') {
			recordObservation({kind: 'failed'});
		}

		return answer;
	};

	const mayReceive = (host: string, job: Job) => !('caller' in job) || job.allowedRegions === undefined || gateways.mayReceive(host, job.allowedRegions);

	const runLocally = async (job: Job, maySend: () => boolean) => ({answer: await local(job, maySend), runner: local});

	return async (job, maySend) => {
		const candidates = gateways.list(listed(), 'workspace' in job ? job.workspace : undefined);
		const hosts = candidates.filter(host => mayReceive(host, job));
		if (hosts.length === 0 && candidates.length > 0) {
			return {answer: restrictedAnswer, runner: local};
		}

		for (const host of hosts) {
			if (host === gateways.self) {
				return runLocally(job, maySend);
			}

			if (gateways.isAvoided(host, listed())) {
				continue;
			}

			// A retryable job is sent while the host is pinged. Any other job waits until the ping is answered.
			const isJobRetryable = isRetryable(job);
			const answering = gateways.isAnswering(host, {isRetryable: isJobRetryable});
			if (!isJobRetryable && !await answering) {
				continue;
			}

			if (!maySend()) {
				return {answer: notSentAnswer, runner: local};
			}

			const run = createGatewayRunner(host);
			const answered = run(job);
			const answer = await Promise.race([answered, waitUntilUnreachable(answering)]);
			const isSkipped = answer === 'notServed' || (answer.kind === 'notSent' && answer.isUnreachable === true);
			if (!isSkipped) {
				return {answer, runner: createPinnedRunner(host, async within => mayReceive(host, within) ? run(within) : restrictedAnswer)};
			}

			void rollBackLate(answered, run);
		}

		recordObservation({kind: 'failed'});
		return {answer: {kind: 'notSent', reason: 'no gateway can be reached'}, runner: local};
	};
}

/** Resolves once a host turns out not to answer; never settles if the host answers. */
async function waitUntilUnreachable(answering: Promise<boolean>): Promise<'notServed'> {
	const hasAnswered = await answering;
	return new Promise(resolve => {
		if (!hasAnswered) {
			resolve('notServed');
		}
	});
}

/** Rolls back the transaction that a skipped gateway still begins, so that it does not stay open there until it is abandoned. */
async function rollBackLate(answered: Promise<JobAnswer | 'notServed'>, run: (job: Job) => Promise<unknown>): Promise<void> {
	const answer = await answered;
	if (answer !== 'notServed' && answer.kind === 'answered' && answer.transaction !== undefined) {
		await run({kind: 'rollback', transaction: answer.transaction});
	}
}

/** Sums up the milliseconds that a job took at its gateway. */
function sumSpans({queue, open, setup, instance}: JobSpans): number {
	return queue + open + setup + instance;
}

/** Creates the runner for further jobs of a transaction, which must run on the gateway where the transaction began. */
function createPinnedRunner(host: string, run: (job: Job) => Promise<JobAnswer | 'notServed'>): JobRunner {
	return async (job, maySend) => {
		if (!maySend()) {
			return notSentAnswer;
		}

		const answer = await run(job);
		return answer === 'notServed' ? {kind: 'notSent', reason: `the gateway ${host} does not hold the transaction`} : answer;
	};
}
