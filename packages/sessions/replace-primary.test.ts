import {setTimeout as sleep} from 'node:timers/promises';
import type {LogPoint} from '@sapphirefall/decisions';
import {expect} from 'chai';
import {encodeStoreVersion} from './encode-store-version.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FenceAnswer} from './fence-answer.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {GroupRow} from './group-row.ts';
import type {HostRow} from './host-row.ts';
import type {KnownGroup} from './known-group.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {LogCopy} from './log-copies/log-copy.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {promotionLimitMs} from './promotion-limit-ms.ts';
import {replacePrimary} from './replace-primary.ts';
import type {Failover} from './failover.ts';
import type {SessionGroup} from './session-group.ts';
import type {Store} from './store.ts';

/** Status rows of the instances, by id; undefined for an instance that is silent. */
type Statuses = Readonly<Record<string, string | undefined>>;

const now = () => ({steady: performance.now(), wall: Date.now()});

/** Lifetime in milliseconds of the longest lease that a host of any version may hold. */
const longestLeaseMs = 2500;

/** Milliseconds after which a connection to an instance in a zone that is cut off is given up. */
const unreachableAfterMs = 400;

/** Stands for the answer of an instance that refuses to tell its status since all its slots are taken. */
const busyStatus = 'busy';

function createInstance(id: string, readStatus: () => string | undefined, readEntry: () => Partial<ListedInstance>): InstanceRuntime {
	const connection: PooledConnection = {
		connection: {
			send: async () => ({kind: 'lost', reason: ''}),
			close: () => undefined,
			isClosed: () => false,
		},
		workspace: 'upper',
		variables: new Map(),
		prepared: new Map(),
		isBusy: true,
		idleSince: 0,
	};
	const answer = (): InstanceAnswer => ({
		kind: 'answered',
		outcome: readStatus() === busyStatus ? {kind: 'failed', code: 'busy', reason: ''} : {kind: 'done', rows: [readStatus() ?? ''], signature: '-'},
		state: 'idle',
		position: undefined,
	});
	return {
		listed: () => ({
			id, group: 'pondbook', host: '', port: 0, zone: id, slots: 5, isDeparting: false, role: 'replica', ...readEntry(),
		}),
		checkGateway: () => undefined,
		update: () => undefined,
		isCold: () => false,
		health: () => ({
			latency: 30, hasAnswered: true, lastAnswerAt: 0, unansweredSince: readStatus() === undefined ? 0 : undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
		}),
		pool: {
			async acquire() {
				if (readStatus() !== undefined) {
					return {kind: 'acquired', connection, openMs: 0};
				}

				await sleep(unreachableAfterMs);
				return {kind: 'unreachable'};
			},
			release: () => undefined,
			takeIdle: () => undefined,
			listIdleWorkspaces: () => new Set(),
			readLoad: () => ({
				busy: 0, idle: 0, waiting: 0, limit: 1,
			}),
			closeIdle: () => undefined,
			findLimit: () => 1,
			setLimit: () => undefined,
			close: () => undefined,
		},
		pace: {
			readLoad() {
				throw new Error('The test ranks no readers');
			},
			restart: () => undefined,
		},
		send: async () => answer(),
		run() {
			throw new Error('The test runs no jobs');
		},
		runLocally() {
			throw new Error('The test runs no jobs');
		},
		endIdleTransactions: () => undefined,
		recordLag: () => undefined,
	};
}

/** Failover lock of another host, and the group for which it uses the lock. */
const lockOfOther = {holder: 'b1', token: 7};
const groupOfOther: GroupRow = {
	epoch: 2, state: 'fencing', primary: 'i-x', successor: '', holder: 'b1', token: 7,
};

/** Creates a store with the row of one group; `isLosing` makes it lose the answers to commits. */
function createStore(row: GroupRow, {isLosing, era, isLockUsed}: {readonly isLosing: boolean; readonly era: number; readonly isLockUsed: boolean}): {readonly store: Store; readonly find: () => GroupRow} {
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
	return {store, find: () => JSON.parse(rows.get(`${fleetKeys.groupPrefix}pondbook`)?.value ?? '{}') as GroupRow};
}

/** Lets another host take the failover over. */
async function takeOver(store: Store): Promise<void> {
	const key = `${fleetKeys.groupPrefix}pondbook`;
	const read = await store.read('fleet');
	const row = read.kind === 'done' ? read.value.rows.find(entry => entry.key === key) : undefined;
	const value = JSON.stringify({
		...JSON.parse(row?.value ?? '{}') as GroupRow, epoch: 3, holder: 'b1', token: 2,
	});
	await store.commit({expected: new Map([[key, row?.version ?? 0]]), values: new Map([[key, value]])});
}

/** Lets another host take the failover lock, for a failover that goes on. */
async function takeLock(store: Store): Promise<void> {
	await store.commit({
		expected: new Map(), values: new Map([[fleetKeys.failoverLock, JSON.stringify(lockOfOther)], [`${fleetKeys.groupPrefix}other`, JSON.stringify(groupOfOther)]]),
	});
}

type Case = {
	readonly statuses: Statuses;
	/** Status rows in the first milliseconds, `firstMs` of them; the same as later if left out. */
	readonly statusesFirst?: Statuses;
	/** Status rows after the promotion order. */
	readonly statusesAfter: Statuses;
	/** Status rows once the first order takes effect, `lateAfterMs` after it; the same as before if left out. */
	readonly statusesLate?: Statuses;
	/** `lateEffectMs` if left out. */
	readonly lateAfterMs?: number;
	readonly reason?: Failover['reason'];
	/** Instances whose zones are evacuated; none if left out. */
	readonly evacuated?: readonly string[];
	readonly isLosing?: boolean;
	readonly mayHaveMissedPromotion?: boolean;
	/** Era of the store, whose row is one of the first. */
	readonly era?: number;
	/** What the host knew before that era. */
	readonly known?: KnownGroup;
	/** Since when the host has known the era of the store, in milliseconds of the steady clock. */
	readonly eraSince?: number;
	readonly recentHosts?: readonly HostRow[];
	/** Answers to the promotion orders, one after another; `accepted` for further ones. */
	readonly answers?: ReadonlyArray<'accepted' | 'refused' | 'lost'>;
	/** Term that the primary led when it was stored; unknown if left out. */
	readonly term?: number;
	/** Whether a commit is acknowledged only once a replica has received it. */
	readonly isSynchronous?: boolean;
	/** When the process of each instance started, by id, as the platform lists it; not known if left out. */
	readonly born?: Readonly<Record<string, number>>;
	/** Number of the entries that an instance has written when it first answers, and how many it writes until `firstMs`. */
	readonly entries?: {readonly first: number; readonly later: number};
	/** Logs that may hold acknowledged commits, as the row names them; not named if left out. */
	readonly copies?: readonly LogCopy[];
	/** What this host knows of the primary's log, `age` milliseconds before the failover; nothing if left out. */
	readonly ownMark?: {readonly position: LogPoint; readonly age: number};
	/** Position beyond which this host has acknowledged a commit; none if left out. */
	readonly ownCommit?: LogPoint;
	/** What other hosts answer that are asked to release the primary. */
	readonly hostAnswers?: Readonly<Record<string, FenceAnswer | undefined>>;
	/** Milliseconds before the failover since which no process of a host has ended. */
	readonly hostsUnchangedMs?: number;
	/** Whether another host uses the failover lock for its own group until `goneAfterMs`. */
	readonly isLockUsed?: boolean;
	/** Instance that the platform does not list any more after `goneAfterMs`. */
	readonly gone?: string;
	/** What happens while the first order is on its way: another host takes the failover over, or the lock, or this host is suspended. */
	readonly duringOrder?: 'takeover' | 'lock' | 'suspension';
};

/** Milliseconds after which a promotion takes effect whose order was lost on the way back. */
const lateEffectMs = 800;

/** Milliseconds after which an instance answers that does not at first. */
const firstMs = 700;

/** Milliseconds after which the platform does not list an instance any more that is gone. */
const goneAfterMs = 1800;

/** Milliseconds for which a host is suspended. */
const suspendedMs = 6000;

async function runFailover({
	statuses, statusesAfter, reason = 'silent', evacuated = [], isLosing = false, mayHaveMissedPromotion = false,
	eraSince = Number.NEGATIVE_INFINITY, recentHosts = [], answers = [], duringOrder, statusesLate = statusesAfter, statusesFirst = statuses, term, lateAfterMs = lateEffectMs, era = 1, known, isSynchronous = false, gone, isLockUsed = false, born = {}, entries = {first: 0, later: 0}, copies, ownMark, ownCommit, hostAnswers = {}, hostsUnchangedMs = 60_000,
}: Case) {
	const ordered: string[] = [];
	let suspended = 0;
	const startedAt = performance.now();
	const startedAtWall = Date.now();
	let orderedAt = Number.POSITIVE_INFINITY;
	let firstOrderedAt = Number.POSITIVE_INFINITY;
	const orderTimes: number[] = [];
	const find = (id: string) => {
		const late = performance.now() - firstOrderedAt > lateAfterMs ? statusesLate : statusesAfter;
		const early = performance.now() - startedAt < firstMs ? statusesFirst : statuses;
		return (ordered.length > 0 ? late : early)[id];
	};

	const countEntries = () => entries.first + (performance.now() - startedAt < firstMs ? 0 : entries.later);
	const instances = Object.keys(statuses).map(id => createInstance(id, () => find(id), () => ({...born[id] !== undefined && {born: born[id]}, seq: countEntries()})));
	const {store, find: findRow} = createStore({
		epoch: 1, state: 'serving', primary: 'i-old', successor: '', holder: 'a1', token: 0, ...term !== undefined && {term}, ...copies && {copies},
	}, {isLosing, era, isLockUsed});
	const group: Partial<SessionGroup> = {
		name: 'pondbook',
		fence: () => undefined,
		known: () => known,
		listUnlisted: () => [],
		findLogMark: () => ownMark && {epoch: 1, position: ownMark.position, requestedAt: {steady: startedAt - ownMark.age, wall: startedAtWall - ownMark.age}},
		findCommitMark: () => ownCommit && {epoch: 1, after: ownCommit},
		listInstances: () => instances.filter(instance => instance.listed().id !== gone || performance.now() - startedAt < goneAfterMs),
		findInstance: id => instances.find(instance => instance.listed().id === id),
	};
	const quiet = () => undefined;
	await replacePrimary({
		group: group as SessionGroup,
		reason,
		self: 'a1',
		incarnation: 1,
		epoch: 1,
		fencedAt: undefined,
		mayHaveMissedPromotion,
		isEvacuated: zone => evacuated.includes(zone),
		isSynchronous: () => isSynchronous,
		isListFresh: () => true,
		isFenceDue: isLockUsed,
		isGivenUp: () => isLockUsed && performance.now() - startedAt > goneAfterMs,
		isHostSilent: async () => false,
		findEra: () => ({era, since: eraSince}),
		store,
		async orderPromotion({instance}) {
			ordered.push(instance);
			orderedAt = performance.now();
			orderTimes.push(orderedAt);
			firstOrderedAt = Math.min(firstOrderedAt, orderedAt);
			if (duringOrder === 'suspension') {
				suspended = suspendedMs;
			} else if (duringOrder !== undefined) {
				await (duringOrder === 'lock' ? takeLock(store) : takeOver(store));
			}

			return answers[ordered.length - 1] ?? 'accepted';
		},
		findPeer: name => ({fenceGroup: async () => hostAnswers[name]}) as unknown as FleetPeer,
		listRecentHosts: () => recentHosts,
		findHostsUnchangedSince: () => startedAt - hostsUnchangedMs,
		workspace: 'upper',
		now: () => ({steady: performance.now(), wall: Date.now() + suspended}),
		log: {debug: quiet, info: quiet, warn: quiet},
	});
	return {
		row: findRow(), ordered, orderedAfter: orderedAt - startedAt, storedAfterOrder: performance.now() - orderedAt, orderTimes,
	};
}

describe('replacePrimary', () => {
	const cases = [
		{
			name: 'promotes the instance with the newest log',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': undefined, 'i-b': 'replica 2 1.7', 'i-c': 'primary 2 1.9'},
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'stores only the instance whose promotion was ordered, even when the old primary comes back',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-new': undefined},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7', 'i-new': 'primary 1 1.9'},
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			// Guards against keeping a primary that was replaced in seconds that the store has lost, while the new one is cut off.
			name: 'replaces a primary that answers if a later one may be silent',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.7', 'i-c': undefined},
				statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': 'primary 3 1.7', 'i-c': undefined},
				mayHaveMissedPromotion: true,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'keeps a primary that was silent only briefly',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.7'},
				statusesAfter: {},
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			name: 'takes the instance that leads if the primary says that it is a replica',
			given: {
				statuses: {'i-old': 'replica 2 2.9', 'i-b': 'primary 2 2.9', 'i-c': undefined},
				statusesAfter: {},
				reason: 'demoted' as const,
				term: 1,
			},
			expected: {primary: 'i-b', ordered: []},
		},
		{
			name: 'promotes an instance if the primary says that it is a replica and none leads',
			given: {
				statuses: {'i-old': 'replica 2 2.9', 'i-b': 'replica 2 2.9', 'i-c': undefined},
				statusesAfter: {'i-old': 'replica 3 2.9', 'i-b': 'primary 3 2.9', 'i-c': undefined},
				reason: 'demoted' as const,
				term: 1,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'replaces a departing primary even though it answers',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'primary 2 1.9'},
				reason: 'departing' as const,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'moves a primary out of an evacuated zone, and not into another one',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.9'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'waits for an instance outside of the evacuated zones that does not answer at first',
			given: {
				statusesFirst: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': undefined},
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.9'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'leaves a primary in its evacuated zone where nothing else answers',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': undefined},
				statusesAfter: {},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against the loss of acknowledged commits that only an instance of an evacuated zone has received beside the primary.
			name: 'leaves a primary in its evacuated zone while no instance elsewhere has its whole log',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.5'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			name: 'leaves a primary in its evacuated zone while its only replica lacks a part of its log',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-c': 'primary 2 1.5'},
				reason: 'evacuated' as const,
				evacuated: ['i-old'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against the loss of acknowledged commits; the next failover takes the primary out of the zone.
			name: 'promotes the instance with the newest log in an evacuated zone if the primary is lost',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.5'},
				evacuated: ['i-b'],
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'leaves a primary where it is whose zone was taken back meanwhile',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
				statusesAfter: {},
				reason: 'evacuated' as const,
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against a status whose term is no number, beside which no instance counts as the leader.
			name: 'leaves out an instance whose status cannot be read',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-c': 'replica x 1.9'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7', 'i-c': 'replica x 1.9'},
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'reads the store when answers to commits are lost',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
				isLosing: true,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
	];
	for (const {name, given, expected} of cases) {
		it(name, async () => {
			const {row, ordered} = await runFailover(given);
			expect({primary: row.primary, ordered}).to.deep.equal(expected);
			expect(row).to.include({state: 'serving', epoch: 2, holder: 'a1'});
		});
	}

	const leases = [
		{name: 'of this version', recentHosts: [], leaseMs: leaseDurationMs},
		{
			name: 'of a version that does not register its lease',
			recentHosts: [{
				name: 'c1', zone: 'c', address: '', incarnation: 1,
			}],
			leaseMs: longestLeaseMs,
		},
	];
	for (const {name, recentHosts, leaseMs} of leases) {
		// Guards against a promotion while hosts that registered in seconds that the store has lost hold leases on the old primary.
		it(`waits with a promotion until leases of an earlier era of the store have expired, at hosts ${name}`, async () => {
			const remainingMs = 900;
			const {orderedAfter} = await runFailover({
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
				eraSince: performance.now() - leaseMs + remainingMs,
				recentHosts,
			});
			expect(orderedAfter).to.be.at.least(remainingMs);
		});
	}

	it('orders a promotion without waiting for a primary that was found silent', async () => {
		const {orderedAfter} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
			statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
		});
		expect(orderedAfter).to.be.below(unreachableAfterMs / 2);
	});

	// Guards against losing acknowledged commits in a planned failover because the old primary was too busy to say how far its log goes.
	it('lets a replica catch up with a departing primary that is too busy to tell its status at first', async () => {
		const {row, ordered, orderedAfter} = await runFailover({
			statusesFirst: {'i-old': busyStatus, 'i-b': 'replica 1 1.7'},
			statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': 'primary 2 1.9'},
			reason: 'departing',
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(orderedAfter).to.be.above(firstMs);
		expect(row).to.include({state: 'serving', primary: 'i-b'});
	});

	for (const duringOrder of ['takeover', 'suspension'] as const) {
		// Guards against two hosts that order promotions in the same failover, one of them with a lower fencing token.
		it(`orders nothing more after a ${duringOrder}`, async () => {
			const silent = {'i-old': undefined, 'i-b': 'replica 1 1.7'};
			const {ordered, row} = await runFailover({
				statuses: silent, statusesAfter: silent, answers: ['lost', 'lost'], duringOrder,
			});
			expect(ordered).to.deep.equal(['i-b']);
			expect(row).to.include({state: 'fencing'});
		});
	}

	// Guards against two primaries: one that stays, and one whose promotion was ordered before and takes effect late.
	it('does not keep the old primary after a refused order while an earlier order may take effect', async () => {
		const {row} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': undefined, 'i-c': 'replica 1 1.7'},
			statusesLate: {'i-old': 'primary 1 1.9', 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.7'},
			answers: ['lost', ...Array.from({length: 40}, () => 'refused' as const)],
		});
		expect(row).to.include({state: 'serving', primary: 'i-b'});
	});

	const replacedSuccessors = [
		{name: 'that gave no answer', answers: ['lost'] as const},
		{name: 'that was accepted', answers: ['accepted'] as const},
		{name: 'that gave no answer before a refused one', answers: ['lost', 'refused'] as const},
	];
	for (const {name, answers} of replacedSuccessors) {
		// Guards against two promotions in turn: the later one of the stored primary, and an earlier one that takes effect after it.
		it(`orders the promotion of another instance only once an order ${name} can take effect no more`, async () => {
			const {row, ordered, orderTimes} = await runFailover({
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': answers.length > 1 ? 'replica 1 1.9' : undefined, 'i-c': 'replica 1 1.7'},
				statusesLate: {'i-old': undefined, 'i-b': undefined, 'i-c': 'primary 3 1.7'},
				lateAfterMs: promotionLimitMs + 1000,
				answers,
			});
			expect(row).to.include({state: 'serving', primary: 'i-c'});
			const effective = ordered.map((instance, index) => ({instance, at: orderTimes[index] ?? 0})).filter((_, index) => answers[index] !== 'refused');
			const lastOfOther = effective.findLast(({instance}) => instance === 'i-b');
			const first = effective.find(({instance}) => instance === 'i-c');
			expect((first?.at ?? 0) - (lastOfOther?.at ?? 0)).to.be.at.least(promotionLimitMs);
		});
	}

	it('keeps the old primary after a refused order once no earlier order can take effect', async () => {
		const {row} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': undefined, 'i-c': 'replica 1 1.7'},
			statusesLate: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			answers: ['lost', ...Array.from({length: 40}, () => 'refused' as const)],
		});
		expect(row).to.include({state: 'serving', primary: 'i-old'});
	});

	const earlierPrimaries = [
		{
			name: 'does not keep an earlier primary that has not stepped down, while the present one is silent',
			given: {
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesLate: {'i-old': undefined, 'i-first': 'primary 3 1.9', 'i-c': 'replica 3 1.7'},
			},
		},
		{
			name: 'does not store an earlier primary as successor before its promotion takes effect',
			given: {
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 2 1.7'},
				statusesAfter: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': undefined},
				statusesLate: {'i-old': undefined, 'i-first': 'primary 3 1.9', 'i-c': 'replica 3 1.7'},
			},
		},
	];
	for (const {name, given} of earlierPrimaries) {
		// Guards against commits at an earlier primary, which acknowledges them until it hears of the present one and rolls them back.
		it(name, async () => {
			const {row, ordered, storedAfterOrder} = await runFailover({...given, term: 2});
			expect(row).to.include({state: 'serving', primary: 'i-first'});
			expect(ordered).to.deep.equal(['i-first']);
			expect(storedAfterOrder).to.be.above(lateEffectMs);
		});
	}

	// Guards against commits at a primary that was replaced in seconds that the store has lost, once the new one is gone.
	it('does not keep a primary of an older term than the host knew before the store came back from an older copy', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-c': 'primary 3 1.7'},
			reason: 'restored',
			mayHaveMissedPromotion: true,
			era: 2,
			known: {
				row: {
					epoch: 2, state: 'serving', primary: 'i-b', term: 2, successor: '', holder: 'a1', token: 1,
				}, epoch: 2,
			},
			term: 1,
		});
		expect(ordered).to.deep.equal(['i-c']);
		expect(row).to.include({state: 'serving', primary: 'i-c', term: 3});
	});

	// Guards against a group without a primary for ever, once all its instances have started again and know no earlier term.
	it('stores the promoted instance though the terms of all instances begin anew', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'replica 1 1.0', 'i-b': 'replica 1 1.0', 'i-c': 'replica 1 1.0'},
			statusesAfter: {'i-old': 'replica 2 1.0', 'i-b': 'primary 2 1.0', 'i-c': 'replica 2 1.0'},
			term: 5,
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'serving', primary: 'i-b', term: 2});
	});

	// Guards against losing all commits without a promotion, because the primary started again under its id with an empty log.
	it('does not keep a primary whose log lacks commits of its term that a replica holds', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'primary 1 1.0', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.0', 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.7'},
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'serving', primary: 'i-b', term: 2});
	});

	const newerLogs = [
		{name: 'promotes an instance that answers late rather than one that knows nothing of the term of the lost primary', late: 'replica 2 2.12', expected: 'i-c'},
		{name: 'promotes an instance that knows nothing of the term of the lost primary if no other one answers', late: undefined, expected: 'i-first'},
	];
	for (const {name, late, expected} of newerLogs) {
		// Guards against losing all commits of a term because the instance that holds them was busy for a moment.
		it(name, async () => {
			const {row, ordered} = await runFailover({
				statusesFirst: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': undefined},
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': late},
				statusesAfter: {
					'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': late, [expected]: 'primary 3 2.12',
				},
				term: 2,
			});
			expect(ordered).to.deep.equal([expected]);
			expect(row).to.include({state: 'serving', primary: expected, term: 3});
		});
	}

	const behind = {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.4'};
	const synchronous: ReadonlyArray<{readonly name: string; readonly given: Case; readonly expected: readonly string[]}> = [
		{
			name: 'waits for a replica that is busy rather than lose what it alone has received',
			given: {
				statusesFirst: {...behind, 'i-b': busyStatus}, statuses: behind, statusesAfter: {...behind, 'i-b': 'primary 2 1.9'},
			},
			expected: ['i-b'],
		},
		{
			name: 'waits for a replica that is silent rather than lose what it alone has received',
			given: {
				statusesFirst: {...behind, 'i-b': undefined}, statuses: behind, statusesAfter: {...behind, 'i-b': 'primary 2 1.9'},
			},
			expected: ['i-b'],
		},
		{
			name: 'does not wait for a replica if another one has the whole log of a departing primary',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': undefined, 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': undefined, 'i-c': 'primary 2 1.9'},
				reason: 'departing',
			},
			expected: ['i-c'],
		},
		{
			name: 'keeps a primary that answers again while it waits',
			given: {
				statusesFirst: {...behind, 'i-b': undefined}, statuses: {...behind, 'i-old': 'primary 1 1.9', 'i-b': undefined}, statusesAfter: {},
			},
			expected: [],
		},
	];
	for (const {name, given, expected} of synchronous) {
		// Guards against the loss of acknowledged commits where a replica must receive a commit before it is acknowledged.
		it(`${name}, with synchronous replicas`, async () => {
			const {row, ordered, orderedAfter} = await runFailover({...given, isSynchronous: true, term: 1});
			expect(ordered).to.deep.equal(expected);
			expect(orderedAfter).to.be.above(0);
			expect(row).to.include({state: 'serving', primary: expected.at(-1) ?? 'i-old'});
		});
	}

	const silent = {...behind, 'i-b': undefined};
	const promoted = {...silent, 'i-c': 'primary 2 1.4'};
	const host: HostRow = {
		name: 'c1', zone: 'c', address: '', incarnation: 1,
	};
	/** What hosts know of the log that is lost with the primary and one replica. */
	const createAnswer = (number: bigint, answer: Partial<FenceAnswer> = {}): FenceAnswer => ({
		isFenced: true,
		uptimeMs: 60_000,
		newest: {
			group: 'pondbook', epoch: 1, position: {term: 1, position: number}, age: 300,
		},
		...answer,
	});
	const recentHosts = [host];
	const missingLogs: ReadonlyArray<{readonly name: string; readonly given: Omit<Case, 'statuses' | 'statusesAfter'> & Partial<Case>; readonly isPromoted: boolean}> = [
		{name: 'one that the platform lists no more', given: {gone: 'i-b'}, isPromoted: false},
		{
			name: 'one that has told more and that the platform lists no more',
			given: {
				statusesFirst: {...behind, 'i-c': undefined}, gone: 'i-b',
			},
			isPromoted: false,
		},
		{name: 'one that only the row names', given: {statuses: {'i-old': undefined, 'i-c': 'replica 1 1.4'}, copies: [{id: 'i-old'}, {id: 'i-b'}, {id: 'i-c'}]}, isPromoted: false},
		{
			name: 'none, as the row names no other, while this host has acknowledged more',
			given: {statuses: {'i-old': undefined, 'i-c': 'replica 1 1.4'}, copies: [{id: 'i-old'}, {id: 'i-c'}], ownCommit: {term: 1, position: 4n}},
			isPromoted: false,
		},
		{
			name: 'none, as the row names no other, while another host has acknowledged more',
			given: {
				statuses: {'i-old': undefined, 'i-c': 'replica 1 1.4'}, copies: [{id: 'i-old'}, {id: 'i-c'}], recentHosts, hostAnswers: {c1: {isFenced: true, commit: {epoch: 1, after: {term: 1, position: 4n}}}},
			},
			isPromoted: false,
		},
		{
			name: 'none, as the row names no other, while the hosts have acknowledged no more',
			given: {
				statuses: {'i-old': undefined, 'i-c': 'replica 1 1.4'}, copies: [{id: 'i-old'}, {id: 'i-c'}], ownCommit: {term: 1, position: 3n}, recentHosts, hostAnswers: {c1: {isFenced: true, commit: {epoch: 1, after: {term: 1, position: 2n}}}},
			},
			isPromoted: true,
		},
		{name: 'none, as the row names no other', given: {statuses: {'i-old': undefined, 'i-c': 'replica 1 1.4'}, copies: [{id: 'i-old'}, {id: 'i-c'}]}, isPromoted: true},
		{
			name: 'one that has started again without its log',
			given: {statuses: {...silent, 'i-b': 'replica 1 1.0'}, born: {'i-b': 2}, copies: [{id: 'i-old'}, {id: 'i-b', born: 1}, {id: 'i-c'}]},
			isPromoted: false,
		},
		{
			name: 'one with an empty log, which may have started again without the list saying so',
			given: {statuses: {...silent, 'i-b': 'replica 1 1.0'}, born: {'i-b': 1}, entries: {first: 7, later: 1}},
			isPromoted: false,
		},
		{
			name: 'one with an empty log whose process has renewed its entry since',
			given: {statuses: {...silent, 'i-b': 'replica 1 1.0'}, born: {'i-b': 1}, entries: {first: 7, later: 2}},
			isPromoted: true,
		},
		{name: 'one that is silent, while all hosts have acknowledged no more', given: {ownMark: {position: {term: 1, position: 3n}, age: 200}, recentHosts, hostAnswers: {c1: createAnswer(4n)}}, isPromoted: true},
		{name: 'one that is silent, while another host has acknowledged more', given: {ownMark: {position: {term: 1, position: 3n}, age: 200}, recentHosts, hostAnswers: {c1: createAnswer(5n)}}, isPromoted: false},
		{name: 'one that is silent, while this host has acknowledged more', given: {ownMark: {position: {term: 1, position: 5n}, age: 200}}, isPromoted: false},
		{name: 'one that is silent, while another host does not tell what it has acknowledged', given: {ownMark: {position: {term: 1, position: 3n}, age: 200}, recentHosts, hostAnswers: {c1: {isFenced: true}}}, isPromoted: false},
		{name: 'one that is silent, while another host does not answer', given: {ownMark: {position: {term: 1, position: 3n}, age: 200}, recentHosts}, isPromoted: false},
		{name: 'one that is silent, while a process of a host has ended that may have acknowledged more', given: {ownMark: {position: {term: 1, position: 3n}, age: 200}, hostsUnchangedMs: 100}, isPromoted: false},
		{
			name: 'one that is silent, while another host has started since and knows nothing',
			given: {ownMark: {position: {term: 1, position: 3n}, age: 2000}, recentHosts, hostAnswers: {c1: {isFenced: true, uptimeMs: 1000}}},
			isPromoted: false,
		},
		{
			name: 'one that is silent, while the primary has started again since hosts know its log',
			given: {
				statuses: {...silent, 'i-old': 'replica 1 1.0'}, ownMark: {position: {term: 1, position: 0n}, age: 200}, born: {'i-old': 2}, copies: [{id: 'i-old', born: 1}, {id: 'i-b'}, {id: 'i-c'}],
			},
			isPromoted: false,
		},
	];
	for (const {name, given, isPromoted} of missingLogs) {
		// Guards against the promotion of a replica without acknowledged commits because the log of another one that may have them is not to be had now (review/12).
		it(`promotes ${isPromoted ? 'what is left' : 'nothing'} with synchronous replicas when the log is missing of ${name}`, async () => {
			const {row, ordered} = await runFailover({
				statuses: silent, statusesAfter: promoted, ...given, isSynchronous: true, term: 1,
			});
			expect(ordered).to.deep.equal(isPromoted ? ['i-c'] : []);
			expect(row).to.include(isPromoted ? {state: 'serving', primary: 'i-c'} : {state: 'fencing', primary: 'i-old'});
		});
	}

	// Guards against two hosts that order promotions by turns, and against a promotion that is never ordered.
	it('orders a promotion only once it has the failover lock that another host used', async () => {
		const {row, ordered, orderedAfter} = await runFailover({
			statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'primary 2 1.9'},
			reason: 'departing',
			isLockUsed: true,
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(orderedAfter).to.be.above(goneAfterMs);
		expect(row).to.include({state: 'serving', primary: 'i-b', token: 8});
	});

	// Guards against an order with a token below that of the host to which the lock went.
	it('orders nothing more with the token of a failover lock that another host has taken', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': undefined, 'i-b': 'replica 1 1.9'},
			duringOrder: 'lock',
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'fencing', holder: 'a1'});
	});
});
