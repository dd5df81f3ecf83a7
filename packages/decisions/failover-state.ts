import type {InstanceReport} from './instance-report.ts';

/** What a watcher does about the primary of a group. */
type FailoverProgress =
	| {readonly kind: 'watching'}
	| {
		readonly kind: 'confirming';
		/** When confirmation was last requested. */
		readonly since: number;
		/** When another zone confirmed the suspicion; undefined before. */
		readonly confirmedAt: number | undefined;
	}
	| {
		readonly kind: 'fencing';
		readonly since: number;
		readonly term: number;
		/** Reports of the instances that have granted the term, by instance. */
		readonly granted: ReadonlyMap<string, InstanceReport>;
	}
	| {
		readonly kind: 'promoting';
		readonly since: number;
		readonly term: number;
		/** Instance that is being promoted. */
		readonly instance: string;
	}
	/** The last attempt was abandoned; the watcher may try again from `until` on. */
	| {readonly kind: 'backingOff'; readonly until: number};

/** Progress of a watcher in replacing a group's primary. Times are monotonic milliseconds. */
export type FailoverState = FailoverProgress & {
	/** Newest term in which this watcher has asked for a grant; undefined if it never has. */
	readonly lastTerm?: number | undefined;
};
