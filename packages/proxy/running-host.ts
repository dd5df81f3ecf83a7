import type {AdmittedRequest, Answer, Request} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import type {
	LoanRequest, LoanGrant, ExchangeContent, BucketHandover,
} from '@sapphirefall/hosts';
import type {OperatorBackend} from '@sapphirefall/operators';
import type {ChangeBackend} from './change-backend.ts';

/** A host that runs, without its listeners. */
export type RunningHost = {
	readonly handle: (request: Request) => Promise<{readonly answer: Answer; readonly session: string}>;
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	readonly confirm: (database: string, term: number) => boolean;
	readonly operators: OperatorBackend;
	/** Executes a request that another host has admitted. */
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Orders what happens here after what other hosts have seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Lends units of a workspace; undefined when this host is neither its home nor a standby that holds a part. */
	readonly lend: (asked: LoanRequest) => LoanGrant | undefined;
	/** Keeps a part of a workspace's bucket as the standby of its home. */
	readonly stand: (workspace: string) => void;
	/** Takes the bucket of a workspace over; false when this host does not know that it is its home. */
	readonly takeOver: (bucket: BucketHandover) => boolean;
	/** Commits a change that another host passed on. */
	readonly takeChange: ChangeBackend['takeChange'];
	/** Stops taking requests, and resolves when those that run have ended. */
	readonly drain: () => Promise<void>;
	readonly stop: () => void;
};
