import type {LogPoint, SqlResult} from '@sapphirefall/decisions';

/** A transaction that committed at the primary, with its results. */
export type CommittedTransaction = {
	readonly kind: 'committed';
	readonly results: readonly SqlResult[];
	readonly point: LogPoint;
	readonly isReplayed: boolean;
};
