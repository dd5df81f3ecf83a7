import type {LogPoint, SqlResult} from '@sapphirefall/decisions';

/** A transaction that committed at the primary, or whose earlier commit was found by its idempotency record. */
export type CommittedTransaction = {
	readonly kind: 'committed';
	readonly results: readonly SqlResult[];
	/** Log point at the primary that includes the commit. */
	readonly point: LogPoint;
	/** Whether the results come from the idempotency record of an earlier run. */
	readonly isReplayed: boolean;
};
