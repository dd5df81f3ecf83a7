import type {LogPoint} from '@sapphirefall/decisions';
import type {GroupRow} from './group-row.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {PrimaryPosition} from './primary-position.ts';
import type {PrimaryView} from './primary-view.ts';
import type {LastWrite} from './last-write.ts';
import type {Versioned} from './versioned.ts';

/** A group of instances as a host uses it. */
export type SessionGroup = {
	readonly name: string;
	/** Takes in the instances that the platform lists; departed ones are given up. */
	readonly updateInstances: (listed: readonly ListedInstance[], limit: number) => void;
	/** Takes in what the store holds about the primary, as of a moment. */
	readonly updateRow: (row: Versioned<GroupRow> | undefined, provenAt: Instant) => void;
	readonly setRegistered: () => void;
	/** Gives the primary up at once, because a successor is being made. */
	readonly fence: (epoch: number) => void;
	/** Since when a successor is being made, in steady milliseconds. */
	readonly fencedAt: () => number | undefined;
	/** Since when the platform does not list an instance, in steady milliseconds. */
	readonly missingSince: (id: string) => number | undefined;
	readonly primary: () => PrimaryView;
	/** Waits until the primary may be used, `timeout` milliseconds at most. */
	readonly waitForPrimary: (timeout: number) => Promise<PrimaryView>;
	readonly findInstance: (id: string) => InstanceRuntime | undefined;
	readonly listInstances: () => readonly InstanceRuntime[];
	/** Position that a log must hold for a read; undefined when only the primary can tell. */
	readonly findRequired: (read: {readonly maxStaleness: number; readonly lastWrite: LastWrite | undefined; readonly arrivedAt: Instant}) => LogPoint | undefined;
	/** Instances that may serve a read, best first. */
	readonly listReaders: (required: LogPoint) => readonly InstanceRuntime[];
	/** Takes note of the position in an answer of the primary. */
	readonly noteAnswer: (instance: string, answer: InstanceAnswer, asked: {readonly at: Instant; readonly epoch: number}) => void;
	/** Newest known position of the primary's log; undefined when none is known. */
	readonly findNewestPosition: () => PrimaryPosition | undefined;
	/** Takes note of a position that another host knows; its age counts from the moment given. */
	readonly notePosition: (position: PrimaryPosition, from: Instant) => void;
	/** Asks the primary for its position if no answer has told it lately. */
	readonly probe: () => Promise<void>;
};
