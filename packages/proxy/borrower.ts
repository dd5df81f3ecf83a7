import type {AdmittedRequest} from '@sapphirefall/decisions';
import type {BorrowOutcome} from './borrow-outcome.ts';

/** Borrows units of workspaces for this host and spends them. */
export type Borrower = {
	/**
	 * Spends a request's cost from the borrowed units; false when they do not suffice or may not be spent.
	 *
	 * @param isFirst Whether this is the request's first call, so that its cost is counted as demand once.
	 */
	readonly spend: (request: AdmittedRequest, isFirst: boolean) => boolean;
	/** Borrows units; requests of a workspace that wait at the same time share one call. */
	readonly borrow: (request: AdmittedRequest) => Promise<BorrowOutcome>;
};
