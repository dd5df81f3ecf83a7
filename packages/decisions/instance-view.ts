import type {InstanceReport} from './instance-report.ts';

/** The newest report of one instance, and when its probe was sent and answered. Times are monotonic milliseconds. */
export type InstanceView = {
	readonly report: InstanceReport;
	readonly sentAt: number;
	readonly answeredAt: number;
	/** When the instance first reported its present term and role. */
	readonly changedAt: number;
};
