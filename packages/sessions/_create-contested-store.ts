import {encodeStoreVersion} from './encode-store-version.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {GroupRow} from './group-row.ts';
import type {Store} from './store.ts';

type Options = {
	/** Whether the answers to commits are lost. */
	readonly isLosing: boolean;
	readonly era: number;
	/** Whether another host uses the failover lock for its own group. */
	readonly isLockUsed: boolean;
};

type ContestedStore = {
	readonly store: Store;
	/** Returns the row of the group. */
	readonly find: () => GroupRow;
	/** Lets another host take the failover over. */
	readonly takeOver: () => Promise<void>;
	/** Lets another host take the failover lock, for a failover that goes on. */
	readonly takeLock: () => Promise<void>;
};

const now = () => ({steady: performance.now(), wall: Date.now()});

/** Failover lock of another host, and the group for which it uses the lock. */
const lockOfOther = {holder: 'b1', token: 7};
const groupOfOther: GroupRow = {
	epoch: 2, state: 'fencing', primary: 'i-x', successor: '', holder: 'b1', token: 7,
};

/** Creates a store with the row of one group, for which another host contends. */
export function createContestedStore(row: GroupRow, {isLosing, era, isLockUsed}: Options): ContestedStore {
	let version = encodeStoreVersion({era, counter: 1});
	const others = [[fleetKeys.failoverLock, lockOfOther], [`${fleetKeys.groupPrefix}other`, groupOfOther]] as const;
	const rows = new Map([[`${fleetKeys.groupPrefix}pondbook`, {value: JSON.stringify(row), version}]]);
	for (const [key, value] of isLockUsed ? others : []) {
		rows.set(key, {value: JSON.stringify(value), version});
	}

	const store: Store = {
		async read() {
			const list = [...rows].map(([key, held]) => ({key, ...held}));
			return {
				kind: 'done', value: {
					rows: list, version, storeNow: 0, sentAt: now(), answeredAt: now(),
				},
			};
		},
		follow: async () => ({kind: 'refused', reason: ''}),
		async commit({expected, values}) {
			if ([...expected].some(([key, wanted]) => (rows.get(key)?.version ?? 0) !== wanted)) {
				return {kind: 'conflict'};
			}

			version++;
			for (const [key, value] of values) {
				rows.set(key, {value: value ?? '', version});
			}

			return isLosing ? {kind: 'lost', reason: ''} : {kind: 'done', value: undefined};
		},
	};
	return {
		store,
		find: () => JSON.parse(rows.get(`${fleetKeys.groupPrefix}pondbook`)?.value ?? '{}') as GroupRow,
		async takeOver() {
			const key = `${fleetKeys.groupPrefix}pondbook`;
			const read = await store.read('fleet');
			const row = read.kind === 'done' ? read.value.rows.find(entry => entry.key === key) : undefined;
			const value = JSON.stringify({
				...JSON.parse(row?.value ?? '{}') as GroupRow, epoch: 3, holder: 'b1', token: 2,
			});
			await store.commit({expected: new Map([[key, row?.version ?? 0]]), values: new Map([[key, value]])});
		},
		async takeLock() {
			await store.commit({
				expected: new Map(), values: new Map([[fleetKeys.failoverLock, JSON.stringify(lockOfOther)], [`${fleetKeys.groupPrefix}other`, JSON.stringify(groupOfOther)]]),
			});
		},
	};
}
