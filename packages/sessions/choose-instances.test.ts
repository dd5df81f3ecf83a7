import {expect} from 'chai';
import {chooseInstances} from './choose-instances.ts';
import type {InstanceHealth} from './instance-health.ts';

const untried: InstanceHealth = {
	latency: 30, hasAnswered: false, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const answered = {...untried, hasAnswered: true};
const failed = {...untried, failures: 1};
const lost = {...answered, failures: 9};

describe(chooseInstances.name, () => {
	const listed = ['a', 'b', 'c', 'd', 'e', 'f'];
	// Guards against a host that gives up its instances for others that the platform lists beside them.
	const cases: ReadonlyArray<{readonly name: string; readonly known?: Readonly<Record<string, InstanceHealth>>; readonly needed?: readonly string[]; readonly lastTaken?: string; readonly expected: readonly string[]}> = [
		{name: 'takes the first ones listed', expected: ['a', 'b', 'c']},
		{name: 'takes needed ones first', needed: ['f', 'gone'], expected: ['f', 'a', 'b']},
		{name: 'keeps those that have answered, also while they fail', known: {e: answered, f: lost}, expected: ['e', 'f', 'a']},
		{name: 'keeps those that are in use and were not tried', known: {d: untried, e: untried, f: untried}, expected: ['d', 'e', 'f']},
		{name: 'takes one that was not tried in place of one that has only failed', known: {a: failed, b: untried, c: untried}, expected: ['b', 'c', 'd']},
		{
			name: 'goes on behind the one that was taken last', known: {a: failed, b: failed, c: failed}, lastTaken: 'c', expected: ['d', 'e', 'f'],
		},
		{name: 'begins anew behind the last one listed', lastTaken: 'f', expected: ['a', 'b', 'c']},
		{name: 'begins anew when the one that was taken last is gone', lastTaken: 'gone', expected: ['a', 'b', 'c']},
	];
	for (const {
		name, known = {}, needed = [], lastTaken, expected,
	} of cases) {
		it(name, () => {
			expect(chooseInstances({
				listed, needed: new Set(needed), findHealth: id => known[id], limit: 3, lastTaken,
			})).to.deep.equal(expected);
		});
	}
});
