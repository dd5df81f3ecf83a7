import type {ScheduledRequest} from './scheduled-request.ts';

/** What came back of one request. Times are milliseconds from the start of the load. */
export type RequestOutcome = {
	readonly request: ScheduledRequest;
	readonly sentAt: number;
	readonly answeredAt: number;
	/** `failed`: no answer came from the host. */
	readonly kind: 'done' | 'notRun' | 'unknown' | 'failed';
	readonly code: number;
	readonly instance: string;
	/** Highest number of the session's writes that the session had seen acknowledged when it sent a read. */
	readonly lastAcknowledgedWrite: number;
	/** Number that a write gave itself within its session; 0 for reads. */
	readonly writeNumber: number;
	/** For reads: the request's own id as it came back, the session's highest write, and the workspace's rows. */
	readonly observed: {readonly id: string; readonly lastWrite: number; readonly rows: number} | undefined;
};
