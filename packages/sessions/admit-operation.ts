import {createBusyFailure} from './create-busy-failure.ts';
import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Largest fraction of a statement's time that it waits for the rates to be assigned; the rest is left to run it. */
const maxRateWaitFraction = 0.5;

const refusalReasons = {
	usedUp: 'The workspace has used up its rate',
	unassigned: 'No rate allocator has assigned the workspace\'s rate to this host lately',
} as const;

/**
 * Counts an operation against the workspace's rate limit.
 *
 * @returns A failure if the operation may not run now; undefined if it may.
 */
export async function admitOperation({context, workspace, arrivedAt, deadline, trace}: Operation): Promise<StatementOutcome | undefined> {
	const maxWaitMs = (deadline - context.now().steady) * maxRateWaitFraction;
	const taken = await context.takeOperation(workspace, maxWaitMs);
	trace.addSpan('rate', context.now().steady - arrivedAt.steady);
	return taken.kind === 'taken' ? undefined : createBusyFailure(refusalReasons[taken.reason], taken.retryAfter);
}
