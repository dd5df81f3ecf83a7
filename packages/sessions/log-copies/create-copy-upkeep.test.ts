import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {GroupRow} from '../group-row.ts';
import type {InstanceRuntime} from '../instance-runtime.ts';
import type {ListedInstance} from '../listed-instance.ts';
import type {SessionGroup} from '../session-group.ts';
import type {Store} from '../store.ts';
import {createCopyUpkeep} from './create-copy-upkeep.ts';

const ignore = () => undefined;

/** Creates an instance with a status row; it does not answer without one. */
function createInstance(id: string, status: string | undefined, listed: Partial<ListedInstance> = {}): InstanceRuntime {
	const instance: Partial<InstanceRuntime> = {
		listed: () => ({
			id, group: 'pondbook', host: '', port: 0, zone: 'a', slots: 5, isDeparting: false, role: 'replica', born: 1, ...listed,
		}),
		pool: {acquire: async () => status === undefined ? {kind: 'unreachable'} : {kind: 'acquired', connection: {}, openMs: 0}, release: ignore} as unknown as InstanceRuntime['pool'],
		send: async () => ({
			kind: 'answered', outcome: {kind: 'done', rows: [status ?? ''], signature: '-'}, state: 'idle', position: undefined,
		}),
	};
	return instance as InstanceRuntime;
}

const a = {id: 'i-a', born: 1};
const b = {id: 'i-b', born: 1};
const c = {id: 'i-c', born: 1};
const primary = createInstance('i-a', 'primary 3 3.9');
const upToDate = createInstance('i-c', 'replica 3 3.9');

type Case = {
	readonly name: string;
	readonly instances: readonly InstanceRuntime[];
	readonly unlisted?: readonly InstanceRuntime[];
	readonly rank?: number;
	readonly state?: GroupRow['state'];
	readonly isListFresh?: boolean;
	readonly isSynchronous?: boolean;
	/** Copies that are stored; undefined if nothing is. */
	readonly expected: GroupRow['copies'];
};

async function runUpkeep({instances, unlisted = [], rank = 0, state = 'serving', isListFresh = true, isSynchronous = true}: Case) {
	const stored: Array<GroupRow['copies']> = [];
	const store: Partial<Store> = {
		async commit({values}) {
			const [text] = values.values();
			stored.push((JSON.parse(text ?? '{}') as GroupRow).copies ?? []);
			return {kind: 'done', value: undefined};
		},
	};
	const group: Partial<SessionGroup> = {
		name: 'pondbook', listInstances: () => instances, listUnlisted: () => unlisted, findInstance: id => instances.find(instance => instance.listed().id === id),
	};
	const upkeep = createCopyUpkeep({
		store: store as Store, isSynchronous: () => isSynchronous, isListFresh: () => isListFresh, findRank: () => rank, findWorkspace: () => 'upper', now: () => 0, log: {info: ignore},
	});
	upkeep.step(group as SessionGroup, {
		version: 7, epoch: 4, state, primary: 'i-a', term: 3, successor: '', holder: 'a1', token: 0, copies: [a, b, c],
	});
	await sleep(5);
	return stored.at(-1);
}

describe(createCopyUpkeep.name, () => {
	const cases: readonly Case[] = [
		{name: 'drops the copy of a lost replica that another one has caught up with', instances: [primary, upToDate], expected: [a, c]},
		{name: 'keeps it while the other replica is behind', instances: [primary, createInstance('i-c', 'replica 3 3.8')], expected: undefined},
		{name: 'keeps it while the other replica is silent', instances: [primary, createInstance('i-c', undefined)], expected: undefined},
		{name: 'keeps it while the other replica is about to leave', instances: [primary, createInstance('i-c', 'replica 3 3.9', {isDeparting: true})], expected: undefined},
		{name: 'keeps it while the primary is silent', instances: [createInstance('i-a', undefined), upToDate], expected: undefined},
		{name: 'keeps it while the primary leads no more', instances: [createInstance('i-a', 'replica 4 3.9'), upToDate], expected: undefined},
		{name: 'keeps it while the primary leads an earlier term', instances: [createInstance('i-a', 'primary 2 2.9'), upToDate], expected: undefined},
		{
			name: 'keeps the copy of a replica that answers though it is not listed', instances: [primary, upToDate], unlisted: [createInstance('i-b', 'replica 3 3.9')], expected: undefined,
		},
		{
			name: 'drops the copy of a replica that does not answer', instances: [primary, upToDate], unlisted: [createInstance('i-b', undefined)], expected: [a, c],
		},
		{
			name: 'adds the copy of a replica that has started again', instances: [primary, upToDate, createInstance('i-b', 'replica 3 3.0', {born: 2})], expected: [a, b, c, {id: 'i-b', born: 2}],
		},
		{
			name: 'drops all once commits need no replica', instances: [primary, upToDate], isSynchronous: false, expected: [],
		},
		{
			name: 'does nothing during a failover', instances: [primary, upToDate], state: 'fencing', expected: undefined,
		},
		{
			name: 'does nothing while the list of instances is old', instances: [primary, upToDate], isListFresh: false, expected: undefined,
		},
		{
			name: 'leaves it to the hosts that rank before', instances: [primary, upToDate], rank: 1, expected: undefined,
		},
	];
	for (const play of cases) {
		// Guards against a row that drops the only replica with acknowledged commits, or keeps one for ever that nobody needs (review/12).
		it(play.name, async () => {
			expect(await runUpkeep(play)).to.deep.equal(play.expected);
		});
	}
});
