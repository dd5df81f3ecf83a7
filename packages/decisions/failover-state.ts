import type {InstanceReport} from './instance-report.ts';

/** Progress of a watcher in replacing a group's primary. Times are monotonic milliseconds. */
export type FailoverState =
	| {readonly kind: 'watching'}
	| {
		readonly kind: 'confirming';
		readonly since: number;
		readonly confirmedAt: number | undefined;
	}
	| {
		readonly kind: 'fencing';
		readonly since: number;
		readonly term: number;
		readonly granted: ReadonlyMap<string, InstanceReport>;
	}
	| {
		readonly kind: 'promoting';
		readonly since: number;
		readonly term: number;
		readonly instance: string;
	}
	| {readonly kind: 'backingOff'; readonly until: number};
