import {expect} from 'chai';
import {chooseRoster} from './choose-roster.ts';
import {createHostState} from './create-host-state.ts';
import type {HostState} from './host-state.ts';
import type {Member} from './member.ts';

const zones: Readonly<Record<string, string>> = {
	a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c', c2: 'c',
};
const now = 10_000;

type Case = {
	readonly title: string;
	readonly listed: readonly string[];
	readonly dead: readonly string[];
	/** Milliseconds for which the dead have been so. */
	readonly deadFor?: number;
	readonly acceptors: readonly string[];
	/** Hosts that change the roster, each from its own view; and what they choose. */
	readonly changers: readonly string[];
	readonly homes?: readonly string[];
	readonly newAcceptors?: readonly string[];
};

const all = Object.keys(zones);

const cases: readonly Case[] = [
	{
		title: 'nothing changes while all hosts of the roster live', listed: all, dead: [], acceptors: ['a1', 'b1', 'c1'], changers: [],
	},
	{
		title: 'a dead host leaves the homes, by the hand of one acceptor',
		listed: all,
		dead: ['b2'],
		acceptors: ['a1', 'b1', 'c1'],
		changers: ['a1'],
		homes: ['a1', 'a2', 'b1', 'c1', 'c2'],
		newAcceptors: ['a1', 'b1', 'c1'],
	},
	{
		title: 'a dead acceptor is replaced by another host of its zone',
		listed: all,
		dead: ['b1'],
		acceptors: ['a1', 'b1', 'c1'],
		changers: ['a1'],
		homes: ['a1', 'a2', 'b2', 'c1', 'c2'],
		newAcceptors: ['a1', 'b2', 'c1'],
	},
	{
		title: 'a change has to stand for a while', listed: all, dead: ['b2'], deadFor: 100, acceptors: ['a1', 'b1', 'c1'], changers: [],
	},
	{
		title: 'a host that misses half of the others changes nothing', listed: all, dead: ['a1', 'a2', 'b2'], acceptors: ['a1', 'b1', 'c1'], changers: [],
	},
	{
		title: 'acceptors that are silent but listed may still accept changes, so nobody takes their part',
		listed: all,
		dead: ['a1', 'b1'],
		acceptors: ['a1', 'b1'],
		changers: [],
	},
	{
		title: 'acceptors that the platform lists no more have been replaced, and a live host takes their part',
		listed: ['a2', 'b2', 'c1', 'c2'],
		dead: [],
		acceptors: ['a1', 'b1'],
		changers: ['a2'],
		homes: ['a2', 'b2', 'c1', 'c2'],
		newAcceptors: ['a2', 'b2', 'c2'],
	},
];

/** Creates what a host knows, with the roster of a fleet whose hosts all lived. */
function createView(self: string, {
	listed, dead, deadFor = 5000, acceptors,
}: Case): HostState {
	const hosts = new Map(listed.map(id => [id, {
		id, zone: zones[id] ?? '', address: '', isDeparting: false,
	}]));
	const base = createHostState({
		id: self, zone: zones[self] ?? '', address: '', isDeparting: false,
	}, 1);
	const members = new Map(dead.map((id): [string, Member] => [id, {
		incarnation: 1, isAlive: false, changedAt: now - deadFor, failures: 9,
	}]));
	return {
		...base,
		membership: {...base.membership, hosts, members},
		roster: {
			head: 1, epoch: 1, hosts: all, homes: all, acceptors,
		},
	};
}

describe('chooseRoster', () => {
	for (const testCase of cases) {
		it(testCase.title, () => {
			const chosen = testCase.listed
				.filter(id => !testCase.dead.includes(id))
				.map(self => ({self, roster: chooseRoster(createView(self, testCase), now)}))
				.filter(({roster}) => roster !== undefined);
			expect(chosen.map(({self}) => self)).to.deep.equal(testCase.changers);
			for (const {roster} of chosen) {
				expect(roster?.homes).to.deep.equal(testCase.homes);
				expect(roster?.acceptors).to.deep.equal(testCase.newAcceptors);
			}
		});
	}
});
