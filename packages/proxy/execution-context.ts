import type {GroupRuntime} from './group-runtime.ts';

/** What the execution of a request needs besides the request. */
export type ExecutionContext = {
	readonly group: GroupRuntime;
	/** Whether this host is the gateway, which has more connections than others. */
	readonly isGateway: boolean;
	readonly zone: string;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Present wall-clock milliseconds. */
	readonly wallNow: () => number;
	/** Milliseconds for which an idempotency record is kept. */
	readonly retention: number;
	/** Takes one retry from the host's budget, if there is one. */
	readonly takeRetry: () => boolean;
	/** Told of each attempt that did not give the answer. */
	readonly onAttemptFailed: (reason: string) => void;
};
