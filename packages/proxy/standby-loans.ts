import type {BorrowAsked, BorrowGranted} from '@sapphirefall/hosts';

/** Keeps parts of the buckets of workspaces whose home is another host, for when that host cannot lend. */
export type StandbyLoans = {
	/** Renews the part of a workspace, as its home asks. */
	readonly renew: (workspace: string) => void;
	/** Lends from the part; undefined when this host has none. */
	readonly lend: (asked: BorrowAsked) => BorrowGranted | undefined;
};
