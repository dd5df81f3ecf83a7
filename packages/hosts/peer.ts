import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';
import type {ChangeRequest, ChangeResponse} from '@sapphirefall/wire';
import type {LoanRequest} from './loan-request.ts';
import type {LoanGrant} from './loan-grant.ts';
import type {BucketHandover} from './bucket-handover.ts';
import type {ExchangeContent} from './exchange-content.ts';

/** Another entry host. A call that gets no answer rejects. */
export type Peer = {
	readonly exchange: (content: ExchangeContent) => Promise<ExchangeContent>;
	/** Borrows units of a workspace; undefined when the other host is not its home. */
	readonly borrow: (asked: LoanRequest) => Promise<LoanGrant | undefined>;
	/** Asks the other host to keep a part of a workspace's bucket as the standby. */
	readonly requestStandby: (workspace: string) => Promise<void>;
	/** Hands a bucket over; false when the other host does not know yet that it is the home. */
	readonly handOver: (bucket: BucketHandover) => Promise<boolean>;
	/** Passes an operator's change on to an acceptor. */
	readonly passChange: (change: ChangeRequest) => Promise<ChangeResponse>;
	/** Sends an admitted request to be carried out; undefined when the answer was lost. */
	readonly forward: (request: AdmittedRequest, signal: AbortSignal) => Promise<Answer | undefined>;
	/** Asks whether the other host also misses the primary of a term. */
	readonly confirm: (database: string, term: number) => Promise<boolean>;
};
