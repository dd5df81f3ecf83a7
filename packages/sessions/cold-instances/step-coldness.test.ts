import {expect} from 'chai';
import {isCold} from './is-cold.ts';
import {stepColdness} from './step-coldness.ts';
import type {Coldness} from './coldness.ts';

type Event = Parameters<typeof stepColdness>[1];

const span = 4000;
const listed = (seq: number, entry: {readonly warmupMs?: number; readonly born?: number | undefined} = {}): Event => ({
	kind: 'listed', warmupMs: 0, born: 7, seq, ...entry,
});
const reconnected: Event = {kind: 'reconnected'};

type Case = {
	readonly name: string;
	/** Events with their times in milliseconds. */
	readonly events: ReadonlyArray<readonly [number, Event]>;
	/** Times at which the instance is cold, and at which it is not. */
	readonly cold: readonly number[];
	readonly warm: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'an instance of which a host that has just started knows nothing else is warm', events: [[0, listed(1)]], cold: [], warm: [0, 100],
	},
	{
		name: 'an instance is cold for as long as its entry says, from when it was read', events: [[100, listed(1, {warmupMs: 500})]], cold: [100, 599], warm: [600],
	},
	{
		name: 'an entry that is read again does not make it cold for longer',
		events: [[100, listed(1, {warmupMs: 500})], [400, listed(1, {warmupMs: 500})]],
		cold: [599],
		warm: [600],
	},
	{
		name: 'a newer entry that names no time does not end it early', events: [[100, listed(1, {warmupMs: 500})], [300, listed(2)]], cold: [599], warm: [600],
	},
	{
		name: 'an instance is back without anything in its caches, with a new start in its entry',
		events: [[0, listed(8)], [1000, listed(1, {born: 9})]],
		cold: [1000, 4999],
		warm: [5000],
	},
	{
		name: 'an instance is back without anything in its caches, and says for how long',
		events: [[0, listed(8)], [1000, listed(1, {warmupMs: 700, born: 9})]],
		cold: [1699],
		warm: [1700],
	},
	{
		name: 'an instance is back without anything in its caches, and its entries count anew',
		events: [[0, listed(8, {born: undefined})], [1000, listed(1, {born: undefined})]],
		cold: [1000, 4999],
		warm: [5000],
	},
	{
		name: 'an instance is back before its entry tells', events: [[0, listed(8)], [1000, reconnected], [1200, listed(9)]], cold: [1000, 1300, 4999], warm: [5000],
	},
	{
		name: 'an instance that was only unreachable is warm once a later entry names the same start',
		events: [[0, listed(8)], [1000, reconnected], [4000, listed(9)]],
		cold: [3999],
		warm: [4000],
	},
	{
		name: 'an instance whose entry was late is cold from its new start on',
		events: [[0, listed(8)], [1000, reconnected], [4100, listed(1, {warmupMs: 2000, born: 9})]],
		cold: [1000, 4100, 6099],
		warm: [6100],
	},
];

describe('stepColdness', () => {
	for (const {name, events, cold, warm} of cases) {
		it(name, () => {
			const findState = (now: number) => {
				let state: Coldness | undefined;
				for (const [at, event] of events.filter(([time]) => time <= now)) {
					state = stepColdness(state, event, {span, now: at});
				}

				return state !== undefined && isCold(state, now);
			};

			expect(cold.map(now => findState(now)), 'cold').to.not.include(false);
			expect(warm.map(now => findState(now)), 'warm').to.not.include(true);
		});
	}
});
