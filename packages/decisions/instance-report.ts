import type {InstanceRole} from './instance-role.ts';
import type {LogPoint} from './log-point.ts';

/** What an instance says of itself in answer to a probe. */
export type InstanceReport = {
	readonly instance: string;
	/** Highest term the instance has granted or joined; it refuses all others. */
	readonly term: number;
	readonly role: InstanceRole;
	/** Last log entry applied. */
	readonly at: LogPoint;
};
