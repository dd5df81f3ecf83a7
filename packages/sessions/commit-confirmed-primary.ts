import {createGroupChange} from './create-group-change.ts';
import {findConfirmedLeader} from './find-confirmed-leader.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import type {GroupRow} from './group-row.ts';
import {readStatus} from './read-status.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	readonly group: SessionGroup;
	/** Name of this host. */
	readonly self: string;
	/** Incarnation of this host's process. */
	readonly incarnation: number;
	/** Present era of the store. */
	readonly era: number;
	/** Whether promotions of the era before have taken effect; see `findConfirmedLeader`. */
	readonly isSettled: boolean;
	/** Whether the group has had no primary for long; see `findConfirmedLeader`. */
	readonly isOverdue: boolean;
	readonly store: Store;
	/** Workspace whose connections are used to query instances. */
	readonly workspace: string;
	readonly log: SessionLog;
};

/** Milliseconds within which an instance must report its status. */
const statusTimeoutMs = 400;

/**
 * Stores the primary of a group again after the store has come back from an older copy; see `findConfirmedLeader`. A row of
 * version 0 stands for one that the store has lost.
 *
 * No promotion is ordered, so neither the failover lock nor a fence is needed: a lease that a host still holds is on the
 * same primary, or on one that was fenced before the present one was promoted.
 */
export async function commitConfirmedPrimary({version, ...row}: Versioned<GroupRow>, {
	group, self, incarnation, era, isSettled, isOverdue, store, workspace, log,
}: Options): Promise<void> {
	const statuses = new Map(await Promise.all(group.listInstances().map(async instance =>
		[instance.listed().id, await readStatus(instance, {workspace, timeout: statusTimeoutMs})] as const)));
	const known = group.known(era);
	const primary = findConfirmedLeader({
		row, statuses, known, isSettled, isOverdue,
	});
	const fields = {
		group: group.name, stored: row.primary, state: row.state, epoch: row.epoch, knownEpoch: known?.epoch, knownPrimary: known?.row.primary, answered: [...statuses.values()].filter(status => status !== undefined).length, primary,
	};
	if (primary === undefined) {
		log.warn(fields, 'group: The primary is not certain after the store came back from an older copy.');
		return;
	}

	const term = statuses.get(primary)?.term;
	const next: GroupRow = {
		...row, epoch: findNextEpoch(row.epoch, era), state: 'serving', primary, successor: '', holder: self, holderIncarnation: incarnation, ...term !== undefined && {term},
	};
	const outcome = await store.commit(createGroupChange(group.name, {...next, version}));
	log.info({...fields, next: next.epoch, outcome: outcome.kind}, 'group: The host tried to confirm the primary after the store came back from an older copy.');
}
