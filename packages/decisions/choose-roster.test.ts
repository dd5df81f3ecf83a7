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
	/** Milliseconds since the dead hosts died. */
	readonly deadFor?: number;
	readonly acceptors: readonly string[];
	/** Hosts that change the roster, each from its own view, and the homes and acceptors that they choose. */
	readonly proposers: readonly string[];
	readonly homes?: readonly string[];
	readonly newAcceptors?: readonly string[];
};

const all = Object.keys(zones);

const cases: readonly Case[] = [
	{
		title: 'nothing changes while all hosts of the roster are alive', listed: all, dead: [], acceptors: ['a1', 'b1', 'c1'], proposers: [],
	},
	{
		title: 'one acceptor removes a dead host from the homes',
		listed: all,
		dead: ['b2'],
		acceptors: ['a1', 'b1', 'c1'],
		proposers: ['a1'],
		homes: ['a1', 'a2', 'b1', 'c1', 'c2'],
		newAcceptors: ['a1', 'b1', 'c1'],
	},
	{
		title: 'a dead acceptor is replaced by another host of its zone',
		listed: all,
		dead: ['b1'],
		acceptors: ['a1', 'b1', 'c1'],
		proposers: ['a1'],
		homes: ['a1', 'a2', 'b2', 'c1', 'c2'],
		newAcceptors: ['a1', 'b2', 'c1'],
	},
	{
		title: 'a change of liveness must be stable for a while', listed: all, dead: ['b2'], deadFor: 100, acceptors: ['a1', 'b1', 'c1'], proposers: [],
	},
	{
		title: 'a host that sees no more than half of the hosts alive changes nothing', listed: all, dead: ['a1', 'a2', 'b2'], acceptors: ['a1', 'b1', 'c1'], proposers: [],
	},
	{
		title: 'acceptors that are silent but listed may still accept changes, so no host takes their role',
		listed: all,
		dead: ['a1', 'b1'],
		acceptors: ['a1', 'b1'],
		proposers: [],
	},
	{
		title: 'a live host takes the role of acceptors that the platform no longer lists',
		listed: ['a2', 'b2', 'c1', 'c2'],
		dead: [],
		acceptors: ['a1', 'b1'],
		proposers: ['a2'],
		homes: ['a2', 'b2', 'c1', 'c2'],
		newAcceptors: ['a2', 'b2', 'c2'],
	},
];

/** Creates the state of a host, with the roster of a fleet whose hosts were all alive. */
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
			expect(chosen.map(({self}) => self)).to.deep.equal(testCase.proposers);
			for (const {roster} of chosen) {
				expect(roster?.homes).to.deep.equal(testCase.homes);
				expect(roster?.acceptors).to.deep.equal(testCase.newAcceptors);
			}
		});
	}
});
