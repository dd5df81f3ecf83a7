/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {createBusy} from './create-busy.ts';
import {createFailure} from './create-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {hasLease} from './has-lease.ts';
import {hasNotRun} from './has-not-run.ts';
import type {Operation} from './operation.ts';
import type {PrimaryView} from './primary-view.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import {waitForExpectedPrimary} from './wait-for-expected-primary.ts';
import type {Work} from './work.ts';

/** Milliseconds between two tries of a write that did not run. */
const retryDelay = 40;

/** Times that a write that did not run is tried. */
const attemptsLimit = 4;

/**
 * Runs a single write on the primary.
 *
 * It is sent once at the most, unless the instance says that it did not run. Success is passed on only while
 * the lease still holds: a primary that was replaced meanwhile may lose the write.
 */
export async function runWrite(work: Work, operation: Operation): Promise<StatementOutcome> {
	const {context, group, deadline} = operation;
	let last: StatementOutcome = createBusy('The write found no primary', 100);
	for (let attempt = 0; attempt < attemptsLimit; attempt++) {
		const left = deadline - context.now().steady;
		if (left <= 0) {
			break;
		}

		const view = await waitForExpectedPrimary(operation, left);
		if (view.kind !== 'leased') {
			operation.trace.addStep(`no primary (${view.reason})`);
			return createBusy(`The group has no primary now (${view.reason})`, view.retryAfter);
		}

		const outcome = await tryPrimary(work, operation, view);
		if (outcome.isFinal) {
			return outcome.outcome;
		}

		last = outcome.outcome;
		await sleep(retryDelay);
	}

	return last;
}

type Tried = {readonly outcome: StatementOutcome; readonly isFinal: boolean};

async function tryPrimary(work: Work, operation: Operation, {instance: id, epoch}: PrimaryView & {readonly kind: 'leased'}): Promise<Tried> {
	const {context, group} = operation;
	const instance = group.findInstance(id);
	if (instance === undefined) {
		return {outcome: createBusy(`The primary ${id} is not listed`, 200), isFinal: false};
	}

	const askedAt = context.now();
	const {answer} = await instance.run({
		...createJobBase(operation), kind: 'single', setup: operation.setup, work, after: undefined,
	}, () => operation.isAllowed() && hasLease(group, epoch));
	operation.trace.addStep(`${id}: ${describeAnswer(answer)}`);
	if (answer.kind === 'notSent') {
		return {outcome: createBusy(`The write was not sent to the primary ${id}: ${answer.reason}`, 100), isFinal: !operation.isAllowed()};
	}

	if (answer.kind === 'lost') {
		return {outcome: createFailure('unknown', `The write may have run: ${answer.reason}`), isFinal: true};
	}

	operation.trace.addJob(answer.spans);
	group.noteAnswer(id, answer, {at: askedAt, epoch});
	if (answer.outcome.kind === 'failed') {
		return hasNotRun(answer.outcome.code)
			? {outcome: createBusy(`The primary ${id} answered ${answer.outcome.code}`, 100), isFinal: false}
			: {outcome: answer.outcome, isFinal: true};
	}

	if (!hasLease(group, epoch) || answer.position === undefined) {
		return {outcome: createFailure('unknown', 'The primary was replaced while the write ran'), isFinal: true};
	}

	operation.setMark({epoch, position: answer.position});
	return {outcome: answer.outcome, isFinal: true};
}
