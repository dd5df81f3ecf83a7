import {comparePoints} from '@sapphirefall/decisions';
import {createGroupChange} from '../create-group-change.ts';
import type {GroupRow} from '../group-row.ts';
import {readStatus} from '../read-status.ts';
import type {SessionGroup} from '../session-group.ts';
import type {SessionLog} from '../session-log.ts';
import {statusTimeoutMs} from '../status-timeout-ms.ts';
import type {Store} from '../store.ts';
import type {Versioned} from '../versioned.ts';
import {findCopyTask} from './find-copy-task.ts';
import {isSameCopy} from './is-same-copy.ts';
import type {LogCopy} from './log-copy.ts';

type Options = {
	readonly store: Store;
	/** Whether the commits of a group are acknowledged only once a replica has received them. */
	readonly isSynchronous: (group: string) => boolean;
	/** Whether the platform's list of instances is recent enough to act on. */
	readonly isListFresh: () => boolean;
	/** Finds this host's rank among those that may change the row of a group. */
	readonly findRank: (group: string) => number;
	/** Workspace whose connections are used to query instances. */
	readonly findWorkspace: () => string | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	readonly log: Pick<SessionLog, 'info'>;
};

/** Keeps the row of each group up to date about the logs that may hold acknowledged commits. */
type CopyUpkeep = {
	/** Begins what is due for a group whose primary serves, as of its row. */
	readonly step: (group: SessionGroup, row: Versioned<GroupRow>) => void;
};

/** Number of hosts that do this for a group; the others need not. */
const hostCount = 3;

/** Milliseconds by which each of them waits longer than the one before, so that usually only one acts. */
const rankDelayMs = 1000;

/** Milliseconds after an attempt of a host for a group until its next one. A check asks the instances, each of which needs a slot for it. */
const retryIntervalMs = {write: 500, check: 2000};

/** Creates the upkeep of the copies in the groups' rows. */
export function createCopyUpkeep({
	store, isSynchronous, isListFresh, findRank, findWorkspace, now, log,
}: Options): CopyUpkeep {
	/** Since when a task is due for a group, in milliseconds of the steady clock. */
	const dueSince = new Map<string, number>();
	/** Before which moment no attempt is made for a group, in milliseconds of the steady clock. */
	const nextAt = new Map<string, number>();

	const commit = async ({name}: SessionGroup, {copies: stored = [], ...row}: Versioned<GroupRow>, copies: readonly LogCopy[] | undefined) => {
		const {kind} = await store.commit(createGroupChange(name, {...row, ...copies !== undefined && {copies}}));
		log.info({
			group: name, stored, copies, outcome: kind,
		}, 'group: The host tried to store which logs may hold acknowledged commits.');
	};

	/** Drops the missing copies that do not answer, if another log holds all that was acknowledged until now. */
	const dropMissing = async (group: SessionGroup, row: Versioned<GroupRow>, missing: readonly LogCopy[]) => {
		const workspace = findWorkspace();
		const {copies} = row;
		if (workspace === undefined || copies === undefined || !await hasUpToDateReplica(group, row, workspace)) {
			return;
		}

		const answering = await listAnswering(group, missing, workspace);
		const kept = copies.filter(copy => answering.includes(copy) || !missing.includes(copy));
		if (kept.length < copies.length) {
			await commit(group, row, kept);
		}
	};

	return {
		step(group, row) {
			const {name} = group;
			const at = now();
			const task = isListFresh() && row.state === 'serving'
				? findCopyTask({
					isSynchronous: isSynchronous(name), copies: row.copies, listed: group.listInstances().map(instance => instance.listed()), primary: row.primary,
				})
				: undefined;
			if (task === undefined) {
				dueSince.delete(name);
				return;
			}

			const since = dueSince.get(name) ?? at;
			dueSince.set(name, since);
			const rank = findRank(name);
			if (rank >= hostCount || at - since < rank * rankDelayMs || at < (nextAt.get(name) ?? at)) {
				return;
			}

			nextAt.set(name, at + retryIntervalMs[task.kind]);
			void (task.kind === 'write' ? commit(group, row, task.copies) : dropMissing(group, row, task.missing));
		},
	};
}

/** Whether a replica that does not depart has all that the primary had when it was asked before. */
async function hasUpToDateReplica(group: SessionGroup, row: GroupRow, workspace: string): Promise<boolean> {
	const instance = group.findInstance(row.primary);
	const primary = instance && await readStatus(instance, {workspace, timeout: statusTimeoutMs});
	if (primary?.role !== 'primary' || primary.term < (row.term ?? 0)) {
		return false;
	}

	const replicas = group.listInstances().filter(other => other !== instance && !other.listed().isDeparting);
	const statuses = await Promise.all(replicas.map(async replica => readStatus(replica, {workspace, timeout: statusTimeoutMs})));
	return statuses.some(status => status !== undefined && comparePoints(status.received, primary.received) >= 0);
}

/** Lists the missing copies whose instances answer, though the platform does not list them. */
async function listAnswering(group: SessionGroup, missing: readonly LogCopy[], workspace: string): Promise<readonly LogCopy[]> {
	const instances = group.listUnlisted().filter(instance => missing.some(copy => isSameCopy(copy, instance.listed())));
	const statuses = await Promise.all(instances.map(async instance => readStatus(instance, {workspace, timeout: statusTimeoutMs})));
	const answering = instances.filter((_, index) => statuses[index] !== undefined).map(instance => instance.listed());
	return missing.filter(copy => answering.some(listed => isSameCopy(copy, listed)));
}
