import {
	createRefusal, isCovered, resultCodes, type Answer,
} from '@sapphirefall/decisions';
import {busyRetryAfterMs} from './_busy-retry-after-ms.ts';
import {repeatAttempts} from './_repeat-attempts.ts';
import {runTransaction} from './_run-transaction.ts';
import type {Attempt} from './_attempt.ts';
import type {CommittedTransaction} from './_committed-transaction.ts';
import type {ExecutionContext} from './execution-context.ts';
import type {WriteRequest} from './_write-request.ts';

/**
 * Executes a write: runs it with its idempotency record in one transaction at the primary, and answers when a majority
 * of the group holds it in the primary's term.
 *
 * An attempt whose commit or acknowledgement is lost is repeated; the idempotency record prevents a second execution.
 */
export async function executeWrite(request: WriteRequest, context: ExecutionContext): Promise<Answer> {
	return repeatAttempts(request, {context, attempt: async () => attemptWrite(request, context)});
}

async function attemptWrite(request: WriteRequest, context: ExecutionContext): Promise<Attempt> {
	const {group} = context;
	const {deadline} = request;
	const primary = await group.waitFor(
		view => view.primary === undefined ? undefined : {instance: view.primary, term: view.term},
		{deadline, isUrgent: false},
	);
	if (primary === undefined) {
		return {kind: 'failed', mayHaveRun: false, reason: 'no primary is known'};
	}

	const {instance, term} = primary;
	const scope = group.openAttempt(term, deadline);
	try {
		const connection = await group.acquire(instance, {...request, isGateway: context.isGateway, signal: scope.signal});
		if (connection === undefined) {
			return createBusyAttempt(context, request);
		}

		const outcome = await runTransaction({
			request, context, connection, term, signal: scope.signal,
		});
		group.release(connection);
		return outcome.kind === 'committed'
			? await waitForMajority(outcome, {
				request, context, term, instance,
			})
			: outcome;
	} finally {
		scope.close();
	}
}

function createBusyAttempt(context: ExecutionContext, request: WriteRequest): Attempt {
	const isLate = context.now() >= request.deadline;
	const refusal = createRefusal(resultCodes.connectionsBusy, {
		reason: 'no connection to the primary came free before the deadline', retryAfter: busyRetryAfterMs,
	});
	return isLate
		? {kind: 'refused', answer: refusal}
		: {kind: 'failed', mayHaveRun: false, reason: 'the primary was replaced'};
}

/** Waits until a majority holds the transaction in the term in which it committed. */
async function waitForMajority(
	committed: CommittedTransaction,
	options: {
		readonly request: WriteRequest;
		readonly context: ExecutionContext;
		readonly term: number;
		readonly instance: string;
	},
): Promise<Attempt> {
	const {request, context, term, instance} = options;
	const {point} = committed;
	const result = await context.group.waitFor(view => {
		if (view.term > term) {
			return 'replaced';
		}

		return view.acknowledged !== undefined && isCovered(point, view.acknowledged) ? 'held' : undefined;
	}, {deadline: request.deadline, isUrgent: true});
	return result === 'held'
		? {
			kind: 'answered',
			answer: {
				kind: 'done', results: committed.results, point, isReplayed: committed.isReplayed, instance,
			},
		}
		: {
			kind: 'failed',
			mayHaveRun: true,
			reason: result === 'replaced'
				? 'the primary was replaced before a majority held the write'
				: 'no majority held the write before the deadline',
		};
}
