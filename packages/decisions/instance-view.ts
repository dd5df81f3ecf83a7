import type {InstanceReport} from './instance-report.ts';

/** The newest report of one instance and when its probe left and was answered, in monotonic milliseconds. */
export type InstanceView = {
	readonly report: InstanceReport;
	readonly sentAt: number;
	readonly answeredAt: number;
	/** When the instance was first heard in its present term and role. */
	readonly changedAt: number;
};
