import {expect} from 'chai';
import {applyObservation} from './apply-observation.ts';

const calm = {
	latency: 30, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const failed = {...calm, failures: 2, avoidedUntil: 500};

describe('applyObservation', () => {
	const cases = [
		{
			name: 'remembers the first of what is not answered', health: {...calm, unansweredSince: 5}, seen: {kind: 'sent'}, expected: {unansweredSince: 5},
		},
		{
			name: 'avoids an instance after a failure', health: calm, seen: {kind: 'failed'}, expected: {failures: 1, avoidedUntil: 800},
		},
		{
			name: 'avoids it longer after more failures, up to a limit', health: {...failed, failures: 9}, seen: {kind: 'failed'}, expected: {failures: 10, avoidedUntil: 2100},
		},
		{
			name: 'lets one request try an instance that was dark', health: failed, seen: {kind: 'sent'}, expected: {avoidedUntil: 1400},
		},
		{
			name: 'trusts it again after an answer', health: failed, seen: {kind: 'answered', latency: undefined, position: undefined}, expected: {failures: 0, avoidedUntil: 0, latency: 30},
		},
		{
			name: 'smooths the latency', health: calm, seen: {kind: 'answered', latency: 130, position: undefined}, expected: {latency: 45},
		},
		{
			name: 'keeps the newest position of a term', health: {...calm, position: {term: 1, position: 9n}}, seen: {kind: 'answered', latency: undefined, position: {term: 1, position: 5n}}, expected: {position: {term: 1, position: 9n}},
		},
		{
			name: 'follows a replica that was rolled back', health: {...calm, position: {term: 1, position: 9n}}, seen: {kind: 'answered', latency: undefined, position: {term: 2, position: 5n}}, expected: {position: {term: 2, position: 5n}},
		},
	] as const;
	for (const {name, health, seen, expected} of cases) {
		it(name, () => {
			expect(applyObservation(health, {seen, now: 600})).to.deep.include(expected);
		});
	}
});
