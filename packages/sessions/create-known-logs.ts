import type {Failover} from './failover.ts';
import {hasEveryCommit} from './has-every-commit.ts';
import type {ReportedStatus} from './reported-status.ts';

/** What a failover knows of the logs of a group's instances, since no host uses the replaced primary any more. */
type KnownLogs = {
	/** Records statuses. An earlier one stays known: whatever was acknowledged had been received before it was told. */
	readonly record: (answers: readonly ReportedStatus[]) => void;
	/** Lists the replicas that have not told their status, if acknowledged commits must not be lost. */
	readonly listAwaited: () => readonly string[];
	/** Whether the promotion of an instance loses no commit that must not be lost. */
	readonly mayPromote: (successor: ReportedStatus) => boolean;
};

/**
 * Creates the knowledge of a failover about the logs of the group's instances; at first it knows none.
 *
 * An instance that the platform does not list any more counts as gone, with what it has received.
 */
export function createKnownLogs({group, isSynchronous, isListFresh}: Pick<Failover, 'group' | 'isSynchronous' | 'isListFresh'>, primary: string): KnownLogs {
	const statuses = new Map<string, ReportedStatus>();

	const listReplicas = () => group.listInstances().map(instance => instance.listed().id).filter(id => id !== primary);

	return {
		record(answers) {
			for (const answer of answers) {
				statuses.set(answer.id, answer);
			}
		},
		listAwaited: () => isSynchronous() ? listReplicas().filter(id => !statuses.has(id)) : [],
		mayPromote(successor) {
			if (!isSynchronous()) {
				return true;
			}

			const replicas = listReplicas();
			const present = [...statuses.values()].filter(({id}) => id === primary || replicas.includes(id));
			return isListFresh() && hasEveryCommit(successor, {statuses: present, primary, replicas});
		},
	};
}
