/* eslint-disable no-await-in-loop -- attempts run sequentially */
import {chooseTarget} from './choose-target.ts';
import {createBusyFailure} from './create-busy-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {describeLease} from './describe-lease.ts';
import {hasLease} from './has-lease.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import type {JobRunner} from './job-runner.ts';
import type {Operation} from './operation.ts';
import type {PrimaryLease} from './primary-lease.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Target} from './target.ts';
import {createRetryHint} from './waiting/create-retry-hint.ts';
import type {RetryHint} from './waiting/retry-hint.ts';

/** A transaction that has begun on an instance. */
type OpenedTransaction = {
	readonly kind: 'opened';
	readonly instance: InstanceRuntime;
	/** Number that identifies the transaction on the host that runs it. */
	readonly transaction: number;
	/** Runs the jobs of the transaction. */
	readonly runner: JobRunner;
	/** Lease on the primary; undefined for a transaction on a replica. */
	readonly lease: PrimaryLease | undefined;
};

/** Largest number of attempts to begin a transaction. */
const maxAttempts = 5;

/** Begins a transaction on the primary, or on a replica if the transaction is read-only; retries on other instances. */
export async function openTransaction(operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction | {readonly kind: 'failed'; readonly outcome: StatementOutcome}> {
	const {context, deadline} = operation;
	const tried = new Set<string>();
	const hint = createRetryHint();
	let outcome: StatementOutcome = createBusyFailure('No instance can begin the transaction', hint.find());
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const remainingMs = deadline - context.now().steady;
		const target = remainingMs > 0 ? await chooseTarget(operation, {isReadOnly, tried, remainingMs}) : undefined;
		if (target === undefined) {
			break;
		}

		if (target.lease === undefined) {
			tried.add(target.instance.listed().id);
		}

		const result = await tryTarget(operation, target, {isReadOnly, hint});
		if (result.kind === 'opened') {
			return result;
		}

		({outcome} = result);
		if (result.isFinal) {
			break;
		}
	}

	return {kind: 'failed', outcome};
}

type AttemptOptions = {readonly isReadOnly: boolean; readonly hint: RetryHint};

type FailedAttempt = {readonly kind: 'failed'; readonly outcome: StatementOutcome; readonly isFinal: boolean};

async function tryTarget(operation: Operation, target: Target, {isReadOnly, hint}: AttemptOptions): Promise<OpenedTransaction | FailedAttempt> {
	const {context} = operation;
	const {instance, after, lease} = target;
	const {id} = instance.listed();
	const requestedAt: Instant = context.now();
	const {answer, runner} = await instance.run({
		...createJobBase(operation), kind: 'begin', setup: operation.setup, isReadOnly, after, idleLimit: context.transactionIdleLimit(),
	}, () => operation.isAllowed() && operation.mayReachZone(instance.listed().zone) && (lease === undefined || hasLease(lease)));
	operation.trace.addStep(`${id}: begin ${describeAnswer(answer)}${describeLease(lease)}`);
	if (answer.kind === 'answered' && answer.transaction !== undefined) {
		operation.trace.addJobSpans(answer.spans);
		lease?.group.recordAnswer(id, answer, {at: requestedAt, epoch: lease.epoch});

		return {
			kind: 'opened', instance, transaction: answer.transaction, runner, lease,
		};
	}

	const code = answer.kind === 'answered' && answer.outcome.kind === 'failed' ? answer.outcome.code : undefined;
	if (after !== undefined && code === 'lagging') {
		instance.recordLag(after);
	}

	if (code === 'readOnly' || code === 'lagging') {
		lease?.group.setDemoted(lease.epoch, true);
	}

	// A primary without room for the transaction refuses another attempt as well.
	const isFinal = hint.record(answer) && lease !== undefined;
	return {kind: 'failed', outcome: createBusyFailure(`Instance ${id} did not begin the transaction: ${describeAnswer(answer)}`, hint.find()), isFinal};
}
