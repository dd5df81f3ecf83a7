import type {InstanceRole} from './instance-role.ts';
import type {LogPoint} from './log-point.ts';

/** The state that an instance reports in answer to a probe. */
export type InstanceReport = {
	readonly instance: string;
	/** Highest term that the instance has granted or joined; it refuses all others. */
	readonly term: number;
	readonly role: InstanceRole;
	/** Last log entry applied. */
	readonly point: LogPoint;
};
