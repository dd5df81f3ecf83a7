/* eslint-disable no-await-in-loop -- attempts run sequentially */
import {setTimeout as sleep} from 'node:timers/promises';
import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {describeLease} from './describe-lease.ts';
import {hasLease} from './has-lease.ts';
import {hasNotRun} from './has-not-run.ts';
import type {Operation} from './operation.ts';
import type {PrimaryLease} from './primary-lease.ts';
import type {PrimaryView} from './primary-view.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import {waitForExpectedPrimary} from './wait-for-expected-primary.ts';
import type {Query} from './query.ts';
import {createRetryHint} from './waiting/create-retry-hint.ts';
import type {RetryHint} from './waiting/retry-hint.ts';

/** Milliseconds between two attempts of a write that did not run. */
const retryDelayMs = 40;

/** Largest number of attempts for a write; only a write that did not run is retried. */
const maxAttempts = 4;

/**
 * Runs a single write on the primary.
 *
 * The write is sent at most once, unless the instance confirms that the write did not run. Success is reported only
 * while the lease is still held, because a primary that was replaced in the meantime may lose the write.
 */
export async function runWrite(query: Query, operation: Operation): Promise<StatementOutcome> {
	const {context, group, deadline} = operation;
	const hint = createRetryHint();
	let lastOutcome: StatementOutcome = createBusyFailure('The write found no primary', hint.find());
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const remainingMs = deadline - context.now().steady;
		if (remainingMs <= 0) {
			break;
		}

		const view = await waitForExpectedPrimary(operation, remainingMs);
		if (view.kind !== 'leased') {
			operation.trace.addStep(`no primary (${view.reason})`);
			return createBusyFailure(`The group has no primary now (${view.reason})`, view.retryAfter);
		}

		const outcome = await tryPrimary(query, operation, {...view, hint});
		if (outcome.isFinal) {
			return outcome.outcome;
		}

		lastOutcome = outcome.outcome;
		await sleep(retryDelayMs);
	}

	return lastOutcome;
}

type AttemptResult = {readonly outcome: StatementOutcome; readonly isFinal: boolean};

async function tryPrimary(query: Query, operation: Operation, {instance: id, epoch, hint}: PrimaryView & {readonly kind: 'leased'; readonly hint: RetryHint}): Promise<AttemptResult> {
	const {context, group} = operation;
	const instance = group.findInstance(id);
	if (instance === undefined) {
		return {outcome: createBusyFailure(`The primary ${id} is not listed`, 200), isFinal: false};
	}

	const lease: PrimaryLease = {group, instance: id, epoch};
	const requestedAt = context.now();
	const knownLog = group.findLogMark();
	const {answer} = await instance.run({
		...createJobBase(operation), kind: 'single', setup: operation.setup, query, after: undefined,
	}, () => {
		const maySend = operation.isAllowed() && operation.mayReachZone(instance.listed().zone) && hasLease(lease);
		operation.setMayTakeEffect(maySend);
		return maySend;
	});
	operation.trace.addStep(`${id}: ${describeAnswer(answer)}${describeLease(lease)}`);
	if (answer.kind === 'notSent') {
		operation.setMayTakeEffect(false);
		// A primary without room for the write refuses another attempt as well.
		const isPrimaryFull = hint.record(answer);
		return {outcome: createBusyFailure(`The write was not sent to the primary ${id}: ${answer.reason}`, hint.find()), isFinal: isPrimaryFull || !operation.isAllowed()};
	}

	if (answer.kind === 'lost') {
		return {outcome: createFailure('unknown', `The write may have run: ${answer.reason}`), isFinal: true};
	}

	operation.trace.addJobSpans(answer.spans);
	group.recordAnswer(id, answer, {at: requestedAt, epoch});
	if (answer.outcome.kind === 'failed') {
		if (answer.outcome.code === 'readOnly') {
			group.setDemoted(epoch, true);
		}

		operation.setMayTakeEffect(!hasNotRun(answer.outcome.code));
		return hasNotRun(answer.outcome.code)
			? {outcome: createBusyFailure(`The primary ${id} answered ${answer.outcome.code}`, hint.find()), isFinal: false}
			: {outcome: answer.outcome, isFinal: true};
	}

	if (!hasLease(lease) || answer.position === undefined) {
		return {outcome: createFailure('unknown', 'The primary was replaced while the write ran'), isFinal: true};
	}

	group.recordCommit(epoch, knownLog);
	operation.setLastWrite({epoch, position: answer.position});
	return {outcome: answer.outcome, isFinal: true};
}
