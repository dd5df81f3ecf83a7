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

/**
 * Whether a caller for whom no operation is left waits instead of being refused.
 *
 * While the rates are assigned, the workspace has used up its rate and its callers are refused at once. While they are not,
 * a caller waits if the rates, or an operation of its host's share, are expected in time.
 */
export function isWorthWaiting({unassignedFor, dueAfter, remaining}: Options): boolean {
	return unassignedFor !== undefined && remaining > 0 && (unassignedFor < settlingTimeoutMs || dueAfter <= remaining);
}
