import type {SessionGroup} from './session-group.ts';

/**
 * The lease on a primary that a statement relies on. It is kept as one value from the begin of the statement or
 * transaction, since an epoch means nothing without its group: epochs count in each group from 1.
 */
export type PrimaryLease = {
	readonly group: SessionGroup;
	/** Instance that was the primary. */
	readonly instance: string;
	readonly epoch: number;
};
