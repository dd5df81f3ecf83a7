import type {LogCopy} from './log-copies/log-copy.ts';

/** Stored row that names the primary of a group. */
export type GroupRow = {
	/** Epoch of the primary; every failover increments it. */
	readonly epoch: number;
	/** `fencing` while a failover runs: the primary must not be used any more. */
	readonly state: 'serving' | 'fencing';
	/** Instance that is the primary, or was until it was fenced. */
	readonly primary: string;
	/**
	 * Term that the primary led when it was stored, and later ones may; undefined for a group's first primary, and in rows of
	 * versions that did not write it.
	 */
	readonly term?: number;
	/** Instance that is to become the primary; empty until one has been chosen. */
	readonly successor: string;
	/** Host that last changed the row, and runs the failover while the state is `fencing`. */
	readonly holder: string;
	/** Incarnation of the holder's process; undefined in rows of versions that did not write it. */
	readonly holderIncarnation?: number;
	/**
	 * Logs of the group's instances that may hold acknowledged commits, where a replica must have received a commit before it is
	 * acknowledged. One stays here until another is known to hold all that it may hold, also while its instance is silent or
	 * not listed. Undefined for other groups, and in rows of versions that did not write it.
	 */
	readonly copies?: readonly LogCopy[];
	/** Fencing token with which the holder took the failover lock; 0 as long as it has not. */
	readonly token: number;
};
