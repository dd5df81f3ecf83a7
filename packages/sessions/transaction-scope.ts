import type {Operation} from './operation.ts';

/** What a transaction began with. A newer configuration applies from the next transaction onward. */
export type TransactionScope = {
	/** Workspace that the transaction counted against. */
	readonly workspace: string;
	/** Route and group on which the first statement opened the transaction; undefined before. */
	readonly opened: Pick<Operation, 'route' | 'group'> | undefined;
};
