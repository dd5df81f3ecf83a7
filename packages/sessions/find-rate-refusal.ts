import type {RateOutcome} from './rate-outcome.ts';

type Options = {
	/** Milliseconds for which the rates of the workspaces have not been assigned; undefined while they are. */
	readonly unassignedFor: number | undefined;
	/** Milliseconds until an operation is due at this host for the caller, after those of the callers that wait already. */
	readonly dueAfter: number;
	/** Milliseconds for which the caller may still wait. */
	readonly remaining: number;
};

/**
 * Milliseconds after the loss of a rate allocator or the start of a new one for which callers wait in any case. Later than
 * that the shares of some host are not known, and may stay unknown for seconds.
 */
const settlingTimeoutMs = 800;

/** Minimum milliseconds after which a refused caller may retry. */
const minRetryMs = 50;

/**
 * Finds how a caller is refused for whom no operation is left; undefined if it is to wait.
 *
 * While the rates are assigned, the workspace has used up its rate and its callers are refused at once. While they are not,
 * a caller waits if the rates, or an operation of its host's share, are expected in time. The time to come back is when
 * the rates are expected, or else the next operation.
 */
export function findRateRefusal({unassignedFor, dueAfter, remaining}: Options): Extract<RateOutcome, {readonly kind: 'refused'}> | undefined {
	if (unassignedFor === undefined) {
		return {kind: 'refused', reason: 'usedUp', retryAfter: dueAfter};
	}

	const settlesAfter = settlingTimeoutMs - unassignedFor;
	if (remaining > 0 && (settlesAfter > 0 || dueAfter <= remaining)) {
		return undefined;
	}

	return {kind: 'refused', reason: 'unassigned', retryAfter: settlesAfter > 0 ? Math.max(minRetryMs, Math.min(dueAfter, settlesAfter)) : dueAfter};
}
