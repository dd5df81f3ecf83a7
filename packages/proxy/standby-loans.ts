import type {LoanRequest, LoanGrant} from '@sapphirefall/hosts';

/** Loans that this host holds as the standby host of workspaces, to lend on when their home host cannot lend. */
export type StandbyLoans = {
	/** Renews the loan of a workspace at the request of its home host. */
	readonly renew: (workspace: string) => void;
	/** Lends units of the standby loan; undefined when this host has none for the workspace, or too few. */
	readonly lend: (request: LoanRequest) => LoanGrant | undefined;
};
