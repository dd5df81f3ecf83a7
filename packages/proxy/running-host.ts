import type {AdmittedRequest, Answer, Request} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import type {
	LoanRequest, LoanGrant, ExchangeContent, BucketHandover,
} from '@sapphirefall/hosts';
import type {OperatorBackend} from '@sapphirefall/operators';
import type {ChangeBackend} from './change-backend.ts';

/** A running host without its listeners. */
export type RunningHost = {
	readonly handle: (request: Request) => Promise<{readonly answer: Answer; readonly session: string}>;
	/** Applies the message of another host and returns what that host lacks. */
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	/** Whether this host, too, suspects the primary of a group in a term. */
	readonly confirm: (database: string, term: number) => boolean;
	readonly operators: OperatorBackend;
	/** Executes a request that another host has admitted. */
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Hybrid logical clock, which orders events of this host after those that other hosts have sent. */
	readonly clock: HybridClock;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Lends units of a workspace; undefined when this host is neither its home host nor holds a standby loan for it. */
	readonly lend: (request: LoanRequest) => LoanGrant | undefined;
	/** Renews the standby loan of a workspace at the request of its home host. */
	readonly renewStandbyLoan: (workspace: string) => void;
	/** Takes over the bucket of a workspace; false when this host's roster does not name it as the home host. */
	readonly acceptHandover: (bucket: BucketHandover) => boolean;
	/** Commits a change that another host forwarded. */
	readonly handleForwardedChange: ChangeBackend['handleForwardedChange'];
	/** Refuses new requests, and resolves when none is in progress. */
	readonly drain: () => Promise<void>;
	/** Stops the control loop's timer and closes the connections to instances. */
	readonly stop: () => void;
};
