import {expect} from 'chai';
import {fleetKeys} from './fleet-keys.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {PooledLink} from './pooled-link.ts';
import {replacePrimary} from './replace-primary.ts';
import type {Failover} from './failover.ts';
import type {SessionGroup} from './session-group.ts';
import type {Store} from './store.ts';

/** What an instance says of itself, by its id; undefined for one that is silent. */
type Says = Readonly<Record<string, string | undefined>>;

const now = () => ({steady: performance.now(), wall: Date.now()});

function createInstance(id: string, says: () => string | undefined): InstanceRuntime {
	const link: PooledLink = {
		link: {
			send: async () => ({kind: 'lost', reason: ''}),
			close: () => undefined,
			isClosed: () => false,
		},
		workspace: 'upper',
		values: new Map(),
		prepared: new Map(),
		isBusy: true,
		idleSince: 0,
	};
	const answer = (): InstanceAnswer => ({
		kind: 'answered', outcome: {kind: 'done', rows: [says() ?? ''], signature: '-'}, state: 'idle', position: undefined,
	});
	return {
		listed: () => ({
			id, group: 'pondbook', host: '', port: 0, zone: 'a', slots: 5, isDeparting: false, role: 'replica',
		}),
		reach: () => undefined,
		update: () => undefined,
		health() {
			throw new Error('The health is not asked for');
		},
		pool: {
			acquire: async () => says() === undefined ? {kind: 'unreachable'} : {kind: 'acquired', link, openSpan: 0},
			release: () => undefined,
			takeIdle: () => undefined,
			load: () => ({
				busy: 0, idle: 0, waiting: 0, limit: 1,
			}),
			dropIdle: () => undefined,
			setLimit: () => undefined,
			close: () => undefined,
		},
		send: async () => answer(),
		run() {
			throw new Error('No job is run');
		},
		runLocally() {
			throw new Error('No job is run');
		},
		noteLag: () => undefined,
	};
}

/** A store with the rows of one group, which may lose the answers of commits. */
function createStore(row: GroupRow, isLosing: boolean): {readonly store: Store; readonly find: () => GroupRow} {
	const rows = new Map([[`${fleetKeys.groupPrefix}pondbook`, {value: JSON.stringify(row), version: 1}]]);
	let version = 1;
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

type Case = {
	readonly says: Says;
	/** What is said after the order of promotion. */
	readonly saysAfter: Says;
	readonly reason?: Failover['reason'];
	readonly isLosing?: boolean;
};

async function runReplacement({says, saysAfter, reason = 'silent', isLosing = false}: Case) {
	const ordered: string[] = [];
	const find = (id: string) => (ordered.length > 0 ? saysAfter : says)[id];
	const instances = Object.keys(says).map(id => createInstance(id, () => find(id)));
	const {store, find: findRow} = createStore({
		epoch: 1, state: 'serving', primary: 'i-old', successor: '', holder: 'a1', token: 0,
	}, isLosing);
	const group: Partial<SessionGroup> = {
		name: 'pondbook',
		fence: () => undefined,
		listInstances: () => instances,
		findInstance: id => instances.find(instance => instance.listed().id === id),
	};
	const quiet = () => undefined;
	await replacePrimary({
		group: group as SessionGroup,
		reason,
		self: 'a1',
		store,
		async orderPromotion({instance}) {
			ordered.push(instance);
			return 'accepted';
		},
		findPeer: () => undefined,
		listRecentHosts: () => [],
		workspace: 'upper',
		now,
		log: {debug: quiet, info: quiet, warn: quiet},
	});
	return {row: findRow(), ordered};
}

describe('replacePrimary', () => {
	const cases = [
		{
			name: 'promotes the instance that is furthest ahead',
			given: {
				says: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-c': 'replica 1 1.9'},
				saysAfter: {'i-old': undefined, 'i-b': 'replica 2 1.7', 'i-c': 'primary 2 1.9'},
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'never names another than the instance whose promotion was ordered, as when the old primary comes back',
			given: {
				says: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-new': undefined},
				saysAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7', 'i-new': 'primary 1 1.9'},
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'keeps a primary that was only silent for a moment',
			given: {
				says: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.7'},
				saysAfter: {},
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			name: 'replaces a departing primary though it answers',
			given: {
				says: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
				saysAfter: {'i-old': 'replica 2 1.9', 'i-b': 'primary 2 1.9'},
				reason: 'departing' as const,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'settles lost answers of the store by reading',
			given: {
				says: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
				saysAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
				isLosing: true,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
	];
	for (const {name, given, expected} of cases) {
		it(name, async () => {
			const {row, ordered} = await runReplacement(given);
			expect({primary: row.primary, ordered}).to.deep.equal(expected);
			expect(row).to.include({state: 'serving', epoch: 2, holder: 'a1'});
		});
	}
});
