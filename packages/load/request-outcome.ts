import type {ScheduledRequest} from './scheduled-request.ts';

/** Outcome of a request. Times are in milliseconds from the start of the load. */
export type RequestOutcome = {
	readonly request: ScheduledRequest;
	readonly sentAt: number;
	readonly answeredAt: number;
	/** `failed` means that no valid answer came from the host. */
	readonly kind: 'done' | 'notRun' | 'unknown' | 'failed';
	readonly code: number;
	readonly instance: string;
	/** Highest number of an acknowledged write of the session when the request was sent. */
	readonly lastAcknowledgedWrite: number;
	/** Sequence number of a write within its session, from 1; 0 for reads. */
	readonly writeNumber: number;
	/** For reads: the request id in the answer, the session's highest write in the database, and the workspace's row count. */
	readonly observed: {readonly id: string; readonly lastWrite: number; readonly rows: number} | undefined;
};
