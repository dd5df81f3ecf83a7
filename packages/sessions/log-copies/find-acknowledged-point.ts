import {comparePoints, type LogPoint} from '@sapphirefall/decisions';

/** What a host that no longer uses the replaced primary has told; times are in milliseconds of the steady clock of the host that asked. */
type Report = {
	/** Latest moment at which the process of the host can have started; undefined for the host that asked. */
	readonly startedAt: number | undefined;
	/** How far the log of the primary had grown; undefined if the host has got no answer from a primary of the group. */
	readonly mark: {
		readonly epoch: number;
		readonly position: LogPoint;
		/** Earliest moment at which the primary can have been asked. */
		readonly requestedAt: number;
	} | undefined;
};

type Options = {
	/** Reports of all hosts that may have acknowledged commits and run; undefined for one that did not tell. */
	readonly reports: ReadonlyArray<Report | undefined>;
	/** Since when no process of a host has ended or left, as far as the host that asked can know. */
	readonly hostsUnchangedSince: number;
};

/**
 * Finds a position at or before which all acknowledged commits of a replaced primary are.
 *
 * What a running host acknowledged lies before its own mark. What a process acknowledged that has ended since lies before
 * any mark that is later than its end. Without such a mark, or while a host does not tell its own, the position is not known.
 */
export function findAcknowledgedPoint({reports, hostsUnchangedSince}: Options): LogPoint | undefined {
	const told = reports.filter(report => report !== undefined);
	const marks = told.map(({mark}) => mark).filter(mark => mark !== undefined);
	const newestEpoch = Math.max(...marks.map(({epoch}) => epoch));
	const newest = marks.filter(({epoch}) => epoch === newestEpoch);
	const latest = Math.max(...newest.map(({requestedAt}) => requestedAt));
	const endedBefore = Math.max(hostsUnchangedSince, ...told.map(({startedAt}) => startedAt ?? Number.NEGATIVE_INFINITY));
	return told.length === reports.length && latest >= endedBefore
		? newest.map(({position}) => position).toSorted(comparePoints).at(-1)
		: undefined;
}
