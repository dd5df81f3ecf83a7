import type {SqlStatement} from '@sapphirefall/decisions';

/** Statements that go to an instance in one message. */
export type Batch = {
	/** The term in which the sender believes the group to be. */
	readonly term: number;
	readonly isReadOnly: boolean;
	/** `whole`: a transaction of its own; `begin`: opens one; `commit` and `rollback`: end the open one. */
	readonly step: 'whole' | 'begin' | 'commit' | 'rollback';
	readonly statements: readonly SqlStatement[];
};
