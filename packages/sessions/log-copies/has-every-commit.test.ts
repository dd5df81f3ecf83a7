import {expect} from 'chai';
import {hasEveryCommit} from './has-every-commit.ts';

const createReport = (id: string, position: number, {role = 'replica', term = 1}: {readonly role?: 'primary' | 'replica'; readonly term?: number} = {}) => ({
	id, isDeparting: false, isEvacuated: false, status: {role, term, received: {term, position: BigInt(position)}},
});
const createPrimary = (position: number) => createReport('old', position, {role: 'primary'});

// Guards against the promotion of an instance without acknowledged commits where a replica had to receive them first.
describe('hasEveryCommit', () => {
	const cases = [
		{name: 'the newest log of all replicas', statuses: [createReport('a', 9), createReport('b', 5)], expected: true},
		{name: 'the same log as all replicas', statuses: [createReport('a', 9), createReport('b', 9)], expected: true},
		{name: 'an older log than another replica', statuses: [createReport('a', 5), createReport('b', 9)], expected: false},
		{name: 'a log of an older term', statuses: [createReport('a', 9), createReport('b', 5, {term: 2})], expected: false},
		{name: 'the newest log, while a replica does not tell its own', statuses: [createReport('a', 9)], expected: false},
		{name: 'the whole log of the primary, while a replica does not tell its own', statuses: [createReport('a', 9), createPrimary(9)], expected: true},
		{name: 'less than the log of the primary, while a replica does not tell its own', statuses: [createReport('a', 5), createPrimary(9)], expected: false},
		{name: 'less than the log of the primary, but the newest of all replicas', statuses: [createReport('a', 5), createReport('b', 5), createPrimary(9)], expected: true},
		{name: 'the empty log of a primary that has lost its own, while a replica does not tell its own', statuses: [createReport('a', 0), createPrimary(0)], expected: false},
		{name: 'the log of a primary that has lost its own', statuses: [createReport('a', 5), createReport('b', 9), createPrimary(0)], expected: false},
		{name: 'the log of the former primary that is a replica now, while a replica does not tell its own', statuses: [createReport('a', 9), createReport('old', 9)], expected: false},
		{
			name: 'the only log', statuses: [createReport('a', 5)], replicas: ['a'], expected: true,
		},
	];
	for (const {name, statuses, replicas = ['a', 'b'], expected} of cases) {
		it(`is ${expected} for an instance with ${name}`, () => {
			const [successor] = statuses;
			expect(successor && hasEveryCommit(successor, {statuses, primary: 'old', replicas: replicas.map(id => ({id}))})).to.equal(expected);
		});
	}
});
