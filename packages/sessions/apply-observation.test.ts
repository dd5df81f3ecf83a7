import {expect} from 'chai';
import {applyObservation} from './apply-observation.ts';

const healthy = {
	latency: 30, hasAnswered: true, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const failed = {...healthy, failures: 2, avoidedUntil: 500};

describe('applyObservation', () => {
	const cases = [
		{
			name: 'keeps the time of the first unanswered request', health: {...healthy, unansweredSince: 5}, seen: {kind: 'sent'}, expected: {unansweredSince: 5},
		},
		{
			name: 'avoids an instance after a failure', health: healthy, seen: {kind: 'failed'}, expected: {failures: 1, avoidedUntil: 800},
		},
		{
			name: 'avoids an instance longer after more failures, up to a limit', health: {...failed, failures: 9}, seen: {kind: 'failed'}, expected: {failures: 10, avoidedUntil: 2100},
		},
		{
			name: 'lets one request probe a failed instance', health: failed, seen: {kind: 'sent'}, expected: {avoidedUntil: 1400},
		},
		{
			name: 'uses an instance again after an answer', health: failed, seen: {kind: 'answered', latency: undefined, position: undefined}, expected: {failures: 0, avoidedUntil: 0, latency: 30},
		},
		{
			name: 'knows that an instance has answered', health: {...healthy, hasAnswered: false}, seen: {kind: 'answered', latency: undefined, position: undefined}, expected: {hasAnswered: true},
		},
		{
			name: 'averages the latency', health: healthy, seen: {kind: 'answered', latency: 130, position: undefined}, expected: {latency: 45},
		},
		{
			name: 'keeps the newest position within a term', health: {...healthy, position: {term: 1, position: 9n}}, seen: {kind: 'answered', latency: undefined, position: {term: 1, position: 5n}}, expected: {position: {term: 1, position: 9n}},
		},
		{
			name: 'takes an earlier position in another term from a replica that was rolled back', health: {...healthy, position: {term: 1, position: 9n}}, seen: {kind: 'answered', latency: undefined, position: {term: 2, position: 5n}}, expected: {position: {term: 2, position: 5n}},
		},
	] as const;
	for (const {name, health, seen, expected} of cases) {
		it(name, () => {
			expect(applyObservation(health, {observation: seen, now: 600})).to.deep.include(expected);
		});
	}
});
