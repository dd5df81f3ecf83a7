import {expect} from 'chai';
import {rankReaders} from './rank-readers.ts';
import type {ReadCandidate} from './read-candidate.ts';

const point = (position: number) => ({term: 1, position: BigInt(position)});
const health = {
	latency: 30, hasAnswered: true, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const replica: ReadCandidate = {
	id: 'replica', isSameZone: true, isPrimary: false, health, load: 0,
};
const remote: ReadCandidate = {...replica, id: 'remote', isSameZone: false};
const primary: ReadCandidate = {...replica, id: 'primary', isPrimary: true};

describe('rankReaders', () => {
	const cases = [
		{name: 'prefers the replica in the same zone', given: [remote, primary, replica], expected: 'replica'},
		{name: 'prefers another zone when the local replica is slow', given: [{...replica, health: {...health, latency: 300}}, remote], expected: 'remote'},
		{name: 'prefers another zone when the local pool is overloaded', given: [{...replica, load: 3}, remote], expected: 'remote'},
		{name: 'prefers another zone while the local replica has nothing in its caches', given: [{...replica, isCold: true}, remote], expected: 'remote'},
		{name: 'avoids an instance that failed recently', given: [{...replica, health: {...health, avoidedUntil: 200}}, remote], expected: 'remote'},
		{name: 'avoids an unresponsive instance', given: [{...replica, health: {...health, unansweredSince: -200}}, remote], expected: 'remote'},
		{name: 'avoids a replica that recently lacked an older position', given: [{...replica, health: {...health, lastLag: {at: 90, missingPosition: point(5)}}}, primary], expected: 'primary'},
		{name: 'tries a replica that lacked only a newer position', given: [{...replica, health: {...health, lastLag: {at: 90, missingPosition: point(50)}}}, primary], expected: 'replica'},
		{name: 'tries a replica that has caught up since', given: [{...replica, health: {...health, position: point(10), lastLag: {at: 90, missingPosition: point(5)}}}, primary], expected: 'replica'},
	];
	for (const {name, given, expected} of cases) {
		it(name, () => {
			expect(rankReaders(given, {required: point(10), isTrialDue: true, now: 100}).at(0)?.id).to.equal(expected);
		});
	}

	const untried = {...replica, id: 'untried', health: {...health, hasAnswered: false}};
	const failed = {...replica, id: 'failed', health: {...health, failures: 1}};
	// Guards against reads that are refused because listed instances which do not answer go before those that do.
	const trials = [
		{
			name: 'ranks instances that have not answered last', given: [untried, failed, remote], isTrialDue: false, expected: ['remote', 'untried', 'failed'],
		},
		{
			name: 'tries one instance that has not answered when a trial is due', given: [remote, untried, failed], isTrialDue: true, expected: ['untried', 'remote', 'failed'],
		},
		{
			name: 'tries an instance that was never tried whatever its cost, the one in use for longest first', given: [replica, {...untried, isSameZone: false}, {...untried, id: 'newer'}], isTrialDue: true, expected: ['untried', 'replica', 'newer'],
		},
		{
			name: 'tries no instance twice at a time', given: [replica, {...untried, health: {...untried.health, unansweredSince: 99}}], isTrialDue: true, expected: ['replica', 'untried'],
		},
		{
			name: 'tries an instance that has failed no sooner than its cost says', given: [{...failed, isSameZone: false}, replica], isTrialDue: true, expected: ['replica', 'failed'],
		},
		{
			name: 'prefers an instance that has not answered to one that lags', given: [{...replica, health: {...health, lastLag: {at: 90, missingPosition: point(5)}}}, untried], isTrialDue: false, expected: ['untried', 'replica'],
		},
		{
			name: 'takes the primary for one that answers until it fails', given: [untried, {...primary, health: untried.health}], isTrialDue: false, expected: ['primary', 'untried'],
		},
	];
	for (const {name, given, isTrialDue, expected} of trials) {
		it(name, () => {
			expect(rankReaders(given, {required: point(10), isTrialDue, now: 100}).map(({id}) => id)).to.deep.equal(expected);
		});
	}
});
