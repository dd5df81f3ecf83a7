import type {LogPoint} from '@sapphirefall/decisions';

/** Where in the log of a group's primary the newest commit is that a host has acknowledged, as far as the host can tell. */
export type CommitMark = {
	/** Epoch of the primary. */
	readonly epoch: number;
	/** Newest position that the host knew when it sent the commit; the commit is beyond it. */
	readonly after: LogPoint;
};
