import type {InstanceGroup} from './instance-group.ts';
import type {SoakProcess} from './soak-process.ts';
import type {SoakSession} from './soak-session.ts';

/** What the clients, instances and processes of a soak saw. */
export type SoakRecord = {
	readonly sessions: readonly SoakSession[];
	readonly processes: readonly SoakProcess[];
	readonly groups: ReadonlyArray<Pick<InstanceGroup, 'name' | 'isSynchronous' | 'instances' | 'leader' | 'commits'>>;
	readonly gracePeriodMs: number;
	/** Returns the most milliseconds by which this process, which takes the times, was late between two moments. */
	readonly findLateness: (from: number, to: number) => number;
};
