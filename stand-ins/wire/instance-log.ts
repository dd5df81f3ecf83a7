import type {LogEntry} from './log-entry.ts';

/** Role, term and log of a simulated instance. A replica applies a commit some time after it has received it. */
export type InstanceLog = {
	readonly role: () => 'primary' | 'replica';
	/** Returns the newest term that the instance knows. */
	readonly term: () => number;
	/** Returns the commits that the instance has received, oldest first. */
	readonly entries: () => readonly LogEntry[];
	/** Returns the position of the newest entry that the instance has received as TERM.NUMBER. */
	readonly receivedPosition: () => string;
	/** Returns the position of the newest entry that the instance has applied as TERM.NUMBER. */
	readonly position: () => string;
	/** Whether the instance has applied a position, given as TERM.NUMBER. */
	readonly hasPosition: (position: string) => boolean;
	/** Returns the newest value of an item that the instance has applied; an empty text if there is none. */
	readonly readValue: (item: string) => string;
	/** Whether the instance is busy since its log was rolled back. */
	readonly isBusy: () => boolean;
	/** Appends a commit of the primary. */
	readonly commit: (writes: LogEntry['writes']) => void;
	/** Follows the log of a primary of this term, which the instance may hold in part; what it holds beyond is rolled back. */
	readonly receive: (term: number, entries: readonly LogEntry[]) => void;
	/** Changes the milliseconds after which a received commit is applied. */
	readonly setLag: (lag: number) => void;
	/** Leads a term with what the instance has received. */
	readonly promote: (term: number) => void;
	/** Begins anew as a replica without a log, which knows no term but the first one. */
	readonly clear: () => void;
	/** Makes a primary of a lower term a replica. */
	readonly stepDown: (term: number) => void;
};
