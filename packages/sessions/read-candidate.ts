import type {InstanceHealth} from './instance-health.ts';

/** An instance that may serve a read. */
export type ReadCandidate = {
	readonly id: string;
	readonly isSameZone: boolean;
	readonly isPrimary: boolean;
	readonly health: InstanceHealth;
	/** Connections in use and sessions waiting for one, over the connections of the pool. */
	readonly load: number;
};
