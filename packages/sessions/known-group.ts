import type {GroupRow} from './group-row.ts';

/** What a host knew of a group before the present era of the store. */
export type KnownGroup = {
	/** Last row that it read. */
	readonly row: GroupRow;
	/** Highest epoch that it read or acknowledged the fence of. */
	readonly epoch: number;
};
