import type {AdmittedRequest} from '@sapphirefall/decisions';
import type {BorrowOutcome} from './borrow-outcome.ts';

/** Holds the units that this host has on loan. */
export type Borrower = {
	/** Spends a request's cost from the units at hand; `isFirst` when the request asks for the first time. */
	readonly spend: (request: AdmittedRequest, isFirst: boolean) => boolean;
	/** Asks for units, once for all requests of a workspace that wait. */
	readonly borrow: (request: AdmittedRequest) => Promise<BorrowOutcome>;
};
