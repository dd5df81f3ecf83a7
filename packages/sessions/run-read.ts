/* eslint-disable no-await-in-loop -- the steps follow each other */
import {chooseTarget} from './choose-target.ts';
import {createBusy} from './create-busy.ts';
import {createFailure} from './create-failure.ts';
import {hasLease} from './has-lease.ts';
import {hasNotRun} from './has-not-run.ts';
import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Target} from './target.ts';
import type {Work} from './work.ts';
import {runWork} from './run-work.ts';

/** Times that a read is tried on instances at most. */
const attemptsLimit = 6;

/** Milliseconds within which an instance must answer a read before it is tried elsewhere; a multiple of what is usual there. */
const readPatience = {least: 500, times: 10};

/**
 * Runs a single read on an instance whose log is fresh enough.
 *
 * A read that did not run, or whose answer was lost, is run again elsewhere.
 */
export async function runRead(work: Work, operation: Operation): Promise<StatementOutcome> {
	const {context, deadline} = operation;
	const tried = new Set<string>();
	let last: StatementOutcome = createBusy('No instance can serve the read', 100);
	for (let attempt = 0; attempt < attemptsLimit; attempt++) {
		const left = deadline - context.now().steady;
		if (left <= 0) {
			break;
		}

		const target = await chooseTarget(operation, {isReadOnly: true, tried, left});
		if (target === undefined) {
			return last;
		}

		tried.add(target.instance.listed().id);
		const outcome = await tryTarget(work, operation, target);
		if (outcome.kind === 'done' || outcome.isFinal) {
			return outcome.outcome;
		}

		last = outcome.outcome;
	}

	return last;
}

type Tried =
	| {readonly kind: 'done'; readonly outcome: StatementOutcome}
	| {readonly kind: 'failed'; readonly outcome: StatementOutcome; readonly isFinal: boolean};

async function tryTarget(work: Work, operation: Operation, {instance, after, epoch}: Target): Promise<Tried> {
	const {context, group, route, workspace, deadline} = operation;
	const {id} = instance.listed();
	const left = deadline - context.now().steady;
	const acquired = await instance.pool.acquire({workspace, priority: route.priority, timeout: left});
	if (acquired.kind !== 'acquired') {
		operation.trace(`${id}: no connection (${acquired.kind})`);
		return {kind: 'failed', outcome: createBusy(`Instance ${id} takes no connection`, 100), isFinal: false};
	}

	const askedAt = context.now();
	const patience = Math.max(readPatience.least, readPatience.times * instance.health().latency);
	const answer = await runWork(acquired.link, {
		operation,
		instance,
		work,
		after,
		isInTransaction: false,
		timeout: Math.max(1, Math.min(patience, deadline - askedAt.steady)),
		maySend: () => operation.isAllowed() && (epoch === undefined || hasLease(group, epoch)),
	});
	const isClean = answer.kind === 'notSent' ? !acquired.link.link.isClosed() : answer.kind === 'answered' && answer.state === 'idle';
	instance.pool.release(acquired.link, isClean);
	if (answer.kind === 'notSent') {
		operation.trace(`${id}: not sent`);
		return {kind: 'failed', outcome: createBusy('The read was not sent', 100), isFinal: !operation.isAllowed()};
	}

	if (answer.kind === 'lost') {
		operation.trace(`${id}: answer lost (${answer.reason})`);
		return {kind: 'failed', outcome: createFailure('timeout', answer.reason), isFinal: false};
	}

	const view = group.primary();
	group.noteAnswer(id, answer, {at: askedAt, epoch: epoch ?? (view.kind === 'leased' ? view.epoch : 0)});
	if (answer.outcome.kind === 'done') {
		operation.trace(`${id}: done`);
		return {kind: 'done', outcome: answer.outcome};
	}

	const {code} = answer.outcome;
	operation.trace(`${id}: ${code}`);
	if (code === 'lagging' && after !== undefined) {
		instance.noteLag(after);
	}

	if (code === 'unknownStatement') {
		acquired.link.link.close();
	}

	const outcome = hasNotRun(code) ? createBusy(`Instance ${id} answered ${code}`, 100) : answer.outcome;
	return {kind: 'failed', outcome, isFinal: code === 'malformed' || code === 'timeout'};
}
