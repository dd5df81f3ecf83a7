import type {SqlStatement} from '@sapphirefall/decisions';

/** Statements sent to an instance in one message. */
export type Batch = {
	/** Term of the group as known to the sender. */
	readonly term: number;
	readonly isReadOnly: boolean;
	/** `whole` runs a transaction of its own, `begin` opens one, `commit` and `rollback` end the open one. */
	readonly step: 'whole' | 'begin' | 'commit' | 'rollback';
	readonly statements: readonly SqlStatement[];
};
