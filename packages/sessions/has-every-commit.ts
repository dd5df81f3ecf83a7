import {comparePoints} from '@sapphirefall/decisions';
import type {ReportedStatus} from './reported-status.ts';

type Options = {
	/** Newest status that each instance has told since no host uses the replaced primary any more. */
	readonly statuses: readonly ReportedStatus[];
	/** Instance that is replaced. */
	readonly primary: string;
	/** All other instances of the group. */
	readonly replicas: readonly string[];
};

/**
 * Whether an instance certainly has each commit that was acknowledged, if at least one replica had to receive a commit first.
 *
 * That is so if it has the whole log of the replaced primary, or the newest log of all replicas: the one that received the
 * last acknowledged commit is among them. An instance that does not tell its status may be that one.
 */
export function hasEveryCommit(successor: ReportedStatus, {statuses, primary, replicas}: Options): boolean {
	const known = new Map(statuses.map(({id, status}) => [id, status]));
	const hasLogOf = (id: string) => {
		const status = known.get(id);
		return status !== undefined && comparePoints(successor.status.received, status.received) >= 0;
	};

	// A primary that has started again without its log does not lead.
	const isCaughtUp = known.get(primary)?.role === 'primary' && hasLogOf(primary);
	const isNewest = statuses.every(({id}) => id === primary || hasLogOf(id));
	return isNewest && (isCaughtUp || replicas.every(id => hasLogOf(id)));
}
