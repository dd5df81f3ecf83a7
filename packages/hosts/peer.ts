import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';
import type {ChangeRequest, ChangeResponse} from '@sapphirefall/wire';
import type {LoanRequest} from './loan-request.ts';
import type {LoanGrant} from './loan-grant.ts';
import type {BucketHandover} from './bucket-handover.ts';
import type {ExchangeContent} from './exchange-content.ts';

/** Calls to another host. A call other than `forward` rejects if no answer arrives in time. */
export type Peer = {
	/** Sends state of this host and returns the state that the other host sends back. */
	readonly exchange: (content: ExchangeContent) => Promise<ExchangeContent>;
	/** Borrows units of a workspace; undefined if the other host does not lend them now. */
	readonly borrow: (request: LoanRequest) => Promise<LoanGrant | undefined>;
	/** Asks the other host, the standby host of a workspace, to renew its standby loan. */
	readonly requestStandby: (workspace: string) => Promise<void>;
	/** Hands over a workspace's token bucket; false if the other host does not have the handover's version of the roster, or is not the home host in it. */
	readonly handOver: (handover: BucketHandover) => Promise<boolean>;
	/** Forwards an operator's change to the other host, an acceptor. */
	readonly passChange: (change: ChangeRequest) => Promise<ChangeResponse>;
	/** Forwards an admitted request to its gateway; undefined if the answer was lost. */
	readonly forward: (request: AdmittedRequest, signal: AbortSignal) => Promise<Answer | undefined>;
	/** Asks whether the other host also suspects that the primary of a term has failed. */
	readonly confirm: (database: string, term: number) => Promise<boolean>;
};
