import type {LogPoint} from '@sapphirefall/decisions';
import type {GroupRow} from './group-row.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import type {CommitMark} from './log-copies/commit-mark.ts';
import type {LogMark} from './log-copies/log-mark.ts';
import type {KnownGroup} from './known-group.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {PrimaryPosition} from './primary-position.ts';
import type {PrimaryView} from './primary-view.ts';
import type {LastWrite} from './last-write.ts';
import type {Versioned} from './versioned.ts';

/** A group of instances (a primary and its replicas), as this host uses it. */
export type SessionGroup = {
	readonly name: string;
	/** Applies the platform's list of instances, and the limit of this host's connections to each of them. */
	readonly updateInstances: (listed: readonly ListedInstance[], limit: number) => void;
	/** Applies the store's row about the primary; `confirmedAt` is the time as of which the store confirmed the row. */
	readonly updateRow: (row: Versioned<GroupRow> | undefined, confirmedAt: Instant) => void;
	/** Sets whether this host is registered in the store; while it is not, no primary may be used. */
	readonly setRegistered: (isRegistered: boolean) => void;
	/** What this host knew of the group before the present era of the store; undefined if it did not know it. */
	readonly known: (era: number) => KnownGroup | undefined;
	/** Stops using the primary of every epoch before this one at once, because it is being replaced. */
	readonly fence: (epoch: number) => void;
	/** Records whether the primary of an epoch has refused a statement of this host as only a replica does, or one that has lost its log; while it has, this host does not use it. */
	readonly setDemoted: (epoch: number, isDemoted: boolean) => void;
	/** Whether the present primary has refused a statement so. */
	readonly isDemoted: () => boolean;
	/** When this host learned that the primary is being replaced, in milliseconds of the steady clock; undefined if it is not. */
	readonly fencedAt: () => number | undefined;
	/** Since when the platform has not listed an instance, in milliseconds of the steady clock; undefined if it is listed. */
	readonly missingSince: (id: string) => number | undefined;
	/**
	 * Returns whether the primary may be used now, and which instance it is. New work may not begin at a primary that is about
	 * to be closed to callers because its zone is evacuated.
	 */
	readonly primary: (use?: {readonly isForNewWork: boolean}) => PrimaryView;
	/** Whether a planned failover is to take the primary out of an evacuated zone. */
	readonly isMoveDue: () => boolean;
	/** Waits until new work may begin at the primary, for at most `timeout` milliseconds. */
	readonly waitForPrimary: (timeout: number) => Promise<PrimaryView>;
	/** Finds an instance that the platform lists, or listed a moment ago; takes it into use if it is not. */
	readonly findInstance: (id: string) => InstanceRuntime | undefined;
	/** Lists the instances in use; the platform may list more than a host uses. */
	readonly listInstances: () => readonly InstanceRuntime[];
	/**
	 * Lists the instances that the platform lists no more, but whose logs may hold acknowledged commits; they are asked for
	 * their status only.
	 */
	readonly listUnlisted: () => readonly InstanceRuntime[];
	/** Finds the position that a log must hold to serve a read; undefined when only the primary can serve the read. */
	readonly findRequiredPosition: (read: {readonly maxStaleness: number; readonly lastWrite: LastWrite | undefined; readonly arrivedAt: Instant}) => LogPoint | undefined;
	/** Lists the instances that may serve a read, best first; `mayUseZone` says whether those of an availability zone may. */
	readonly listReaders: (required: LogPoint, mayUseZone?: (zone: string) => boolean) => readonly InstanceRuntime[];
	/**
	 * Records the position in an answer of the primary; `epoch` is that of the lease on the instance when the request was
	 * made. Answers of other instances and of other epochs are ignored.
	 */
	readonly recordAnswer: (instance: string, answer: InstanceAnswer, request: {readonly at: Instant; readonly epoch: number}) => void;
	/** Finds the newest known position of the primary's log. */
	readonly findNewestPosition: () => PrimaryPosition | undefined;
	/** Finds how far the log of the latest primary had grown that this host knows of; undefined if it knows nothing of it. */
	readonly findLogMark: () => LogMark | undefined;
	/** Records that this host acknowledges a commit; `known` is what it knew of the primary's log when it sent the commit. */
	readonly recordCommit: (epoch: number, known: LogMark | undefined) => void;
	/** Finds the newest commit that this host has acknowledged; undefined if it knows of none. */
	readonly findCommitMark: () => CommitMark | undefined;
	/** Records a position that another host reported; its age counts from the time `from`. */
	readonly recordPosition: (position: PrimaryPosition, from: Instant) => void;
	/** Drops instances that stay unlisted or are too many, and surplus connections, and queries the primary's position if a sample is due. */
	readonly step: () => Promise<void>;
};
