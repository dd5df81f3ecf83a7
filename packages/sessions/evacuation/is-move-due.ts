type Options = {
	/** Whether the primary's zone is evacuated. */
	readonly isEvacuated: boolean;
	/** Whether another instance may become the primary; see `hasSuccessorElsewhere`. */
	readonly hasSuccessor: boolean;
	/** When a failover last left the primary in its evacuated zone, in milliseconds of the steady clock; undefined if none did. */
	readonly stayedAt: number | undefined;
	/** Whether this host ran the last failover of the group. */
	readonly hasRunLast: boolean;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds after a failover that left the primary in its evacuated zone until another one is tried. */
const retryIntervalMs = 3000;

/** Milliseconds by which the host that ran the last failover waits longer than the others, which may reach more instances. */
const sameHostDelayMs = 1000;

/** Checks whether a planned failover is to take the primary out of an evacuated zone. */
export function isMoveDue({isEvacuated, hasSuccessor, stayedAt, hasRunLast, now}: Options): boolean {
	const intervalMs = retryIntervalMs + (hasRunLast ? sameHostDelayMs : 0);
	return isEvacuated && hasSuccessor && (stayedAt === undefined || now - stayedAt >= intervalMs);
}
