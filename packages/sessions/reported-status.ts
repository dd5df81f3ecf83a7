import type {InstanceStatus} from './instance-status.ts';

/** Status that an instance of a group reported during a failover. */
export type ReportedStatus = {
	readonly id: string;
	readonly status: InstanceStatus;
	/** Whether the platform lists the instance as departing, or not at all. */
	readonly isDeparting: boolean;
	/** When the process of the instance started, as the platform's list said when the status arrived; undefined if it did not. */
	readonly born?: number | undefined;
	/** Whether the zone of the instance is evacuated. */
	readonly isEvacuated: boolean;
};
