import type {InstanceHealth} from './instance-health.ts';

/** An instance that may serve a read. */
export type ReadCandidate = {
	readonly id: string;
	/** Whether the instance is in the zone of this host. */
	readonly isSameZone: boolean;
	readonly isPrimary: boolean;
	/** Whether the instance has started lately, so that it is slow and gets few statements. */
	readonly isCold?: boolean;
	readonly health: InstanceHealth;
	/** Statements in progress plus those that wait, divided by the number that may be in progress. */
	readonly load: number;
};
