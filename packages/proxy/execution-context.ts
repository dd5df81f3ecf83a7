import type {GroupRuntime} from './group-runtime.ts';

/** Dependencies and settings of the execution of a request. */
export type ExecutionContext = {
	readonly group: GroupRuntime;
	/** Whether this host is the request's gateway and uses the gateway's pool instead of the small direct one. */
	readonly isGateway: boolean;
	/** Zone of this host; reads prefer replicas in it. */
	readonly zone: string;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns the current wall-clock time in milliseconds. */
	readonly wallNow: () => number;
	/** Milliseconds for which an idempotency record is kept. */
	readonly retention: number;
	/** Takes one retry from the host's retry budget; false when the budget is used up. */
	readonly takeRetry: () => boolean;
	/** Called for each failed attempt. */
	readonly onAttemptFailed: (reason: string) => void;
};
