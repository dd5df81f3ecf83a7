import {comparePoints} from '@sapphirefall/decisions';
import type {ReportedStatus} from '../reported-status.ts';
import {isSameCopy} from './is-same-copy.ts';
import type {LogCopy} from './log-copy.ts';

type Options = {
	/** Newest status that each instance has told since no host uses the replaced primary any more. */
	readonly statuses: readonly ReportedStatus[];
	/** Instance that is replaced. */
	readonly primary: string;
	/** Logs of all other instances that may hold acknowledged commits. */
	readonly replicas: readonly LogCopy[];
};

/**
 * Whether an instance certainly has each commit that was acknowledged, if at least one replica had to receive a commit first.
 *
 * That is so if it has the whole log of the replaced primary, or the newest log of all replicas: the one that received the
 * last acknowledged commit is among them. An instance that does not tell its status may be that one.
 */
export function hasEveryCommit(successor: ReportedStatus, {statuses, primary, replicas}: Options): boolean {
	const hasLogOf = ({status}: ReportedStatus) => comparePoints(successor.status.received, status.received) >= 0;

	// A primary that has started again without its log does not lead, or has an empty one.
	const isCaughtUp = statuses.some(report => report.id === primary && report.status.role === 'primary' && report.status.received.position > 0n && hasLogOf(report));
	const isNewest = statuses.every(report => report.id === primary || hasLogOf(report));
	return isNewest && (isCaughtUp || replicas.every(copy => statuses.some(report => isSameCopy(report, copy))));
}
