import type {Link} from '../links/link.ts';
import type {CommitRecord} from './commit-record.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';

/** The simulated instances of a group, which replicate the log of their primary. */
export type InstanceGroup = {
	readonly name: string;
	/** Whether a commit is acknowledged only once another instance has received it. */
	readonly isSynchronous: boolean;
	readonly instances: readonly InstanceStandIn[];
	/** Relays at which the instances are registered, by instance; none if they are registered at their own ports. */
	readonly links: ReadonlyMap<InstanceStandIn, Link>;
	/** Returns the instance that leads the newest term. */
	readonly leader: () => InstanceStandIn;
	/** Returns all commits, oldest first. */
	readonly commits: () => readonly CommitRecord[];
	/** Whether an instance of this id may be promoted. */
	readonly mayPromote: (id: string) => boolean;
	/** Makes an instance lead the next term, with what it has received. */
	readonly promote: (id: string) => void;
	/** Lists an instance as departing, as before planned work, until another one is promoted or it is listed as ready again. */
	readonly drain: (instance: InstanceStandIn) => void;
	readonly listAsReady: (instance: InstanceStandIn) => void;
	/** Cuts an instance off from the others of the group, or ends that. */
	readonly setCut: (instance: InstanceStandIn, isCut: boolean) => void;
	/** Cuts an instance off from hosts and the platform, whose entry of it expires, but not from the other instances; resolves once it is back. */
	readonly cutOff: (instance: InstanceStandIn, milliseconds: number) => Promise<void>;
	/** Crashes an instance for some milliseconds; it comes back with its log, as a replica if another one was promoted. */
	readonly crash: (instance: InstanceStandIn, milliseconds: number) => Promise<void>;
	/** Crashes an instance for some milliseconds; it starts again under its id, with another time of its start and without a log. */
	readonly startAgain: (instance: InstanceStandIn, milliseconds: number) => Promise<void>;
	readonly close: () => void;
};
