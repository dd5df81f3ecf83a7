import type {InstanceStatus} from './instance-status.ts';

/** Status that an instance of a group reported during a failover. */
export type ReportedStatus = {
	readonly id: string;
	readonly status: InstanceStatus;
	/** Whether the platform lists the instance as departing. */
	readonly isDeparting: boolean;
	/** Whether the zone of the instance is evacuated. */
	readonly isEvacuated: boolean;
};
