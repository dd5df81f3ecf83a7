import {createGroupChange} from './create-group-change.ts';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';

type Options = {
	/** Registration of this host. */
	readonly own: HostRow;
	readonly listInstances: () => readonly ListedInstance[];
	readonly store: Store;
	readonly log: SessionLog;
};

/** Stores the first primary of a group that has none in the store: the instance that reports this role in the platform's list. */
export async function commitFirstPrimary(group: string, {
	own, listInstances, store, log,
}: Options): Promise<void> {
	const primary = listInstances().find(entry => entry.group === group && entry.role === 'primary' && !entry.isDeparting);
	if (primary === undefined) {
		return;
	}

	const change = createGroupChange(group, {
		version: 0, epoch: 1, state: 'serving', primary: primary.id, successor: '', holder: own.name, holderIncarnation: own.incarnation, token: 0,
	});
	const outcome = await store.commit(change);
	log.info({group, primary: primary.id, outcome: outcome.kind}, 'group: The host tried to store the first primary.');
}
