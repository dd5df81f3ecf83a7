/* eslint-disable no-await-in-loop -- one host is tried after the other */
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
	/** Runs jobs on this host's own connections. */
	readonly local: JobRunner;
	readonly gateways: Gateways;
	readonly note: (seen: Parameters<typeof applyObservation>[1]['seen']) => void;
	/** Present steady milliseconds. */
	readonly now: () => number;
};

/**
 * Creates what finds a way for jobs to an instance: this host's own connections, or those of a gateway.
 *
 * A gateway that takes no work, or cannot be reached, is passed over. One that was given a job which must not run again,
 * and does not answer, may have run it, so the answer is then lost.
 */
export function createRoutedRunner({listed, local, gateways, note, now}: Options): DispatchJob {
	const createGatewayRunner = (host: string): ((job: Job) => Promise<JobAnswer | 'notServed'>) => async job => {
		const sentAt = now();
		const answer = await gateways.runJob(host, listed(), job);
		if (answer === undefined) {
			return {kind: 'lost', reason: `The gateway ${host} gave no answer.`};
		}

		if (answer !== 'notServed' && answer.kind === 'answered') {
			const elapsed = now() - sentAt;
			note({kind: 'answered', latency: job.kind === 'single' ? elapsed : undefined, position: answer.position});
			return {...answer, spans: answer.spans && {...answer.spans, way: elapsed - countSpans(answer.spans)}};
		}

		if (answer !== 'notServed' && answer.kind === 'lost') {
			note({kind: 'failed'});
		}

		return answer;
	};

	const runLocally = async (job: Job, maySend: () => boolean) => ({answer: await local(job, maySend), runner: local});

	return async (job, maySend) => {
		const hosts = gateways.list(listed(), 'workspace' in job ? job.workspace : undefined);
		for (const host of hosts) {
			if (host === gateways.self) {
				return runLocally(job, maySend);
			}

			if (gateways.isAvoided(host, listed())) {
				continue;
			}

			// Work that may run again elsewhere goes out with the question whether the host is there; a write after the answer.
			const mayRepeat = isRetryable(job);
			const answering = gateways.isAnswering(host, {isRepeatable: mayRepeat});
			if (!mayRepeat && !await answering) {
				continue;
			}

			if (!maySend()) {
				return {answer: notSentAnswer, runner: local};
			}

			const run = createGatewayRunner(host);
			const answer = await Promise.race([run(job), waitUntilAbsent(answering)]);
			const isPassedOver = answer === 'notServed' || (answer.kind === 'notSent' && answer.isUnreachable === true);
			if (!isPassedOver) {
				return {answer, runner: createPinnedRunner(host, run)};
			}
		}

		note({kind: 'failed'});
		return {answer: {kind: 'notSent', reason: 'no gateway can be reached'}, runner: local};
	};
}

/** Waits until a host turns out not to answer; for ever if it does. */
async function waitUntilAbsent(answering: Promise<boolean>): Promise<'notServed'> {
	const isThere = await answering;
	return new Promise(resolve => {
		if (!isThere) {
			resolve('notServed');
		}
	});
}

/** Milliseconds that a job took at its gateway. */
function countSpans({queue, open, setup, instance}: JobSpans): number {
	return queue + open + setup + instance;
}

/** Runs the jobs of a transaction where it has begun. */
function createPinnedRunner(host: string, run: (job: Job) => Promise<JobAnswer | 'notServed'>): JobRunner {
	return async (job, maySend) => {
		if (!maySend()) {
			return notSentAnswer;
		}

		const answer = await run(job);
		return answer === 'notServed' ? {kind: 'notSent', reason: `the gateway ${host} does not hold the transaction`} : answer;
	};
}
