/* eslint-disable no-await-in-loop -- attempts run sequentially */
import {chooseTarget} from './choose-target.ts';
import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {describeLease} from './describe-lease.ts';
import {findLease} from './find-lease.ts';
import {hasLease} from './has-lease.ts';
import {hasNotRun} from './has-not-run.ts';
import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Target} from './target.ts';
import type {Query} from './query.ts';
import {createRetryHint} from './waiting/create-retry-hint.ts';
import type {RetryHint} from './waiting/retry-hint.ts';

/** Largest number of attempts for a read. */
const maxAttempts = 6;

/**
 * Runs a single read on an instance whose log meets the freshness of the route.
 *
 * Retries on another instance if the read did not run or its answer was lost.
 */
export async function runRead(query: Query, operation: Operation): Promise<StatementOutcome> {
	const {context, deadline} = operation;
	const tried = new Set<string>();
	const hint = createRetryHint();
	let lastOutcome: StatementOutcome = createBusyFailure('No instance can serve the read', hint.find());
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const remainingMs = deadline - context.now().steady;
		if (remainingMs <= 0) {
			break;
		}

		const target = await chooseTarget(operation, {isReadOnly: true, tried, remainingMs});
		if (target === undefined) {
			return lastOutcome;
		}

		tried.add(target.instance.listed().id);
		const outcome = await tryTarget(query, operation, {...target, hint});
		if (outcome.kind === 'done' || outcome.isFinal) {
			return outcome.outcome;
		}

		lastOutcome = outcome.outcome;
	}

	return lastOutcome;
}

type AttemptResult =
	| {readonly kind: 'done'; readonly outcome: StatementOutcome}
	| {readonly kind: 'failed'; readonly outcome: StatementOutcome; readonly isFinal: boolean};

async function tryTarget(query: Query, operation: Operation, {instance, after, lease, hint}: Target & {readonly hint: RetryHint}): Promise<AttemptResult> {
	const {context, group} = operation;
	const {id} = instance.listed();
	const requestedAt = context.now();
	// The instance may be the primary without being asked as such, and may become it before its answer comes.
	const sampled = lease ?? findLease(group, id);
	const {answer} = await instance.run({
		...createJobBase(operation), kind: 'single', setup: operation.setup, query, after,
	}, () => operation.isAllowed() && operation.mayReachZone(instance.listed().zone) && (lease === undefined || hasLease(lease)));
	operation.trace.addStep(`${id}: ${describeAnswer(answer)}${describeLease(lease)}`);
	if (answer.kind === 'notSent') {
		// The primary is tried last. It has no room for the read now, so that another attempt there would be refused as well.
		const isPrimaryFull = hint.record(answer) && lease !== undefined;
		return {kind: 'failed', outcome: createBusyFailure(`The read was not sent to instance ${id}: ${answer.reason}`, hint.find()), isFinal: isPrimaryFull || !operation.isAllowed()};
	}

	if (answer.kind === 'lost') {
		return {kind: 'failed', outcome: createFailure('timeout', answer.reason), isFinal: false};
	}

	operation.trace.addJobSpans(answer.spans);
	sampled?.group.recordAnswer(id, answer, {at: requestedAt, epoch: sampled.epoch});
	if (answer.outcome.kind === 'done') {
		return {kind: 'done', outcome: answer.outcome};
	}

	const {code} = answer.outcome;
	if (code === 'lagging' && after !== undefined) {
		instance.recordLag(after);
		lease?.group.setDemoted(lease.epoch, true);
	}

	const outcome = hasNotRun(code) ? createBusyFailure(`Instance ${id} answered ${code}`, hint.find()) : answer.outcome;
	return {kind: 'failed', outcome, isFinal: code === 'malformed' || code === 'timeout'};
}
