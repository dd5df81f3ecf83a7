import {expect} from 'chai';
import {commitFence} from './commit-fence.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {Failover} from './failover.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {GroupRow} from './group-row.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import type {Store} from './store.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {SessionGroup} from './session-group.ts';

const groupKey = `${fleetKeys.groupPrefix}pondbook`;
const serving: GroupRow = {
	epoch: 4, state: 'serving', primary: 'i-old', successor: '', holder: 'b1', holderIncarnation: 2, token: 3,
};
const now = () => ({steady: performance.now(), wall: Date.now()});
const ignore = () => undefined;

type Plan = {
	readonly row: GroupRow;
	/** Row of another group; there is none if left out. */
	readonly other?: GroupRow;
	/** What other commits write just before the first commit of this host is applied. */
	readonly between?: Readonly<Record<string, unknown>>;
	/** Whether the answers to commits are lost. */
	readonly isLosing?: boolean;
	/** Era of the store. */
	readonly era?: number;
};

/** Creates a store with one group and the failover lock of another host that no longer uses it. */
function createStore({
	row, other, between = {}, isLosing = false, era = 1,
}: Plan) {
	let version = encodeStoreVersion({era, counter: 2});
	const rows = new Map([
		[groupKey, {value: JSON.stringify(row), version: version - 1}],
		...other === undefined ? [] : [[`${fleetKeys.groupPrefix}other`, {value: JSON.stringify(other), version: version - 1}] as const],
		[fleetKeys.failoverLock, {value: JSON.stringify({holder: 'c1', token: 3}), version}],
	]);
	let commits = 0;
	const write = (key: string, value: string) => {
		version++;
		rows.set(key, {value, version});
	};

	const store: Store = {
		async read() {
			return {
				kind: 'done', value: {
					rows: [...rows].map(([key, held]) => ({key, ...held})), version, storeNow: 0, sentAt: now(), answeredAt: now(),
				},
			};
		},
		follow: async () => ({kind: 'refused', reason: ''}),
		async commit({expected, values}) {
			commits++;
			for (const [key, value] of commits === 1 ? Object.entries(between) : []) {
				write(key, JSON.stringify(value));
			}

			if ([...expected].some(([key, wanted]) => rows.get(key)?.version !== wanted)) {
				return {kind: 'conflict'};
			}

			for (const [key, value] of values) {
				write(key, value ?? '');
			}

			return isLosing ? {kind: 'lost', reason: ''} : {kind: 'done', value: undefined};
		},
	};
	return {store, find: () => JSON.parse(rows.get(groupKey)?.value ?? '{}') as GroupRow};
}

const fence = async (plan: Plan, failover: Partial<Failover> = {}) => {
	const {store, find} = createStore(plan);
	const startedAt = performance.now();
	const listed = {id: 'i-b', born: 2};
	const group: Partial<SessionGroup> = {name: 'pondbook', known: ignore, listInstances: () => [{listed: () => listed} as unknown as InstanceRuntime]};
	const committed = await commitFence({
		group: group as SessionGroup,
		reason: 'silent',
		epoch: 4,
		fencedAt: undefined,
		mayHaveMissedPromotion: false,
		isSynchronous: () => false,
		isListFresh: () => true,
		isFenceDue: false,
		isGivenUp: () => false,
		isHostSilent: async () => false,
		findEra: () => ({era: 1, since: Number.NEGATIVE_INFINITY}),
		self: 'a1',
		incarnation: 9,
		store,
		orderPromotion: async () => 'accepted',
		findPeer: ignore,
		listRecentHosts: () => [],
		findHostsUnchangedSince: () => 0,
		workspace: 'upper',
		now,
		log: {debug: ignore, info: ignore, warn: ignore},
		...failover,
	});
	return {
		isFenced: committed !== undefined,
		row: find(),
		leasesCountFrom: committed === undefined ? undefined : committed.at - startedAt,
		ordersAfter: committed === undefined ? undefined : committed.ordersFrom - performance.now(),
	};
};

describe(commitFence.name, () => {
	const fencedByLostProcess: GroupRow = {
		...serving, state: 'fencing', holder: 'c1',
	};
	const cases: ReadonlyArray<{readonly name: string; readonly plan: Plan; readonly failover?: Partial<Failover>; readonly isFenced: boolean; readonly row: Partial<GroupRow>}> = [
		{
			name: 'fences the primary and names its own process', plan: {row: serving}, isFenced: true, row: {epoch: 5, state: 'fencing', holderIncarnation: 9},
		},
		{
			name: 'tries again when this host has just taken the lock for another group of a lost zone', plan: {row: serving, between: {[fleetKeys.failoverLock]: {holder: 'a1', token: 4}}}, isFenced: true, row: {epoch: 5, state: 'fencing', token: 4},
		},
		{
			// Guards against a host that resumes the failover and does not know that a replica has acknowledged commits which is not listed any more.
			name: 'stores which logs may hold acknowledged commits', plan: {row: {...serving, copies: [{id: 'i-gone', born: 1}]}}, failover: {isSynchronous: () => true}, isFenced: true, row: {epoch: 5, copies: [{id: 'i-gone', born: 1}, {id: 'i-b', born: 2}]},
		},
		{
			name: 'leaves a primary alone that another host has named since the vote', plan: {row: {...serving, epoch: 6, primary: 'i-new'}}, isFenced: false, row: {epoch: 6, state: 'serving', primary: 'i-new'},
		},
		{
			name: 'leaves a primary alone that another host names while it commits', plan: {row: serving, between: {[groupKey]: {...serving, epoch: 6, primary: 'i-new'}}}, isFenced: false, row: {epoch: 6, state: 'serving', primary: 'i-new'},
		},
		{
			name: 'resumes the failover of a process that has ended', plan: {row: fencedByLostProcess}, failover: {reason: 'abandoned', fencedAt: performance.now()}, isFenced: true, row: {epoch: 5, state: 'fencing', holder: 'a1'},
		},
		{
			name: 'does not resume a failover that another host has resumed already', plan: {row: {...fencedByLostProcess, epoch: 5, holder: 'b1'}}, failover: {reason: 'abandoned', fencedAt: performance.now()}, isFenced: false, row: {epoch: 5, holder: 'b1'},
		},
		{
			// Guards against an epoch or fencing token being given out twice, as the store names older ones after its return.
			name: 'takes an epoch and a token above all that an earlier era can have given out', plan: {row: serving, era: 2}, isFenced: true, row: {epoch: 1_000_001, token: 1_000_001},
		},
		{
			name: 'finds its fence though the answer to the commit is lost', plan: {row: serving, isLosing: true}, isFenced: true, row: {epoch: 5, state: 'fencing', holder: 'a1'},
		},
	];
	for (const {name, plan, failover, isFenced, row} of cases) {
		it(name, async () => {
			const outcome = await fence(plan, failover);
			expect(outcome.isFenced).to.equal(isFenced);
			expect(outcome.row).to.deep.include(row);
		});
	}

	/** Row of a group whose primary the holder of the lock replaces. */
	const lockUsed: GroupRow = {
		...serving, state: 'fencing', holder: 'c1', token: 3,
	};
	const abandoned = {reason: 'abandoned' as const, fencedAt: performance.now()};
	const lockCases: ReadonlyArray<{readonly name: string; readonly plan?: Partial<Plan>; readonly failover?: Partial<Failover>; readonly token: number | undefined; readonly ordersAfterMs?: number}> = [
		{name: 'leaves the primary to the host that uses the failover lock', token: undefined},
		{name: 'fences a primary without the lock, once statements may not be sent to it much longer', failover: {isFenceDue: true}, token: 0},
		{
			name: 'resumes an abandoned failover without the lock that another host uses', plan: {row: {...serving, state: 'fencing', holder: 'b1'}}, failover: abandoned, token: 0,
		},
		{
			name: 'takes the lock from a silent host, and lets it order nothing meanwhile', failover: {isHostSilent: async host => host === 'c1'}, token: 4, ordersAfterMs: leaseDurationMs,
		},
		{name: 'takes the lock of a failover that was given up', failover: {isGivenUp: (name, epoch) => name === 'other' && epoch === 4}, token: 4},
		{name: 'takes the lock that its last holder does not use any more', plan: {other: {...lockUsed, state: 'serving'}}, token: 4},
		{name: 'takes the lock while its last holder waits for it with another failover', plan: {other: {...lockUsed, token: 0}}, token: 4},
	];
	for (const {name, plan, failover = {}, token, ordersAfterMs = 0} of lockCases) {
		// Guards against an unfinished failover of one group that holds up those of all others, whose primaries get statements after they were to be drained.
		it(name, async () => {
			const {isFenced, row, ordersAfter = 0} = await fence({row: serving, other: lockUsed, ...plan}, failover);
			expect(isFenced).to.equal(token !== undefined);
			expect(row).to.include(token === undefined ? serving : {state: 'fencing', holder: 'a1', token});
			expect(ordersAfter).to.be.within(ordersAfterMs - 100, ordersAfterMs + 1000);
		});
	}

	it('counts leases from when this host first saw the fence that it resumes', async () => {
		const {leasesCountFrom} = await fence({row: fencedByLostProcess}, {reason: 'abandoned', fencedAt: performance.now() - 1500});
		expect(leasesCountFrom).to.be.within(-1600, -1400);
	});

	it('counts leases from the beginning of the era of the store, if the row is from an earlier one', async () => {
		const {leasesCountFrom} = await fence({row: serving, era: 2}, {findEra: () => ({era: 2, since: performance.now() - 1500})});
		expect(leasesCountFrom).to.be.within(-1600, -1400);
	});

	it('does not count leases from an older fence', async () => {
		const {leasesCountFrom} = await fence({row: serving}, {fencedAt: performance.now() - 1500});
		expect(leasesCountFrom).to.be.at.least(0);
	});
});
