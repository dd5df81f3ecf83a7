import {expect} from 'chai';
import {createNotEnteredAnswer} from './create-not-entered-answer.ts';

describe('createNotEnteredAnswer', () => {
	const cases = [
		{outcome: {kind: 'unreachable'}, expected: {reason: 'no place at the instance (unreachable)', isUnreachable: true}},
		{outcome: {kind: 'busy'}, expected: {reason: 'no place at the instance (busy)', isUnreachable: false}},
		{outcome: {kind: 'busy', retryAfterMs: 70}, expected: {reason: 'no place at the instance (busy)', isUnreachable: false, retryAfterMs: 70}},
		{
			outcome: {kind: 'busy', ahead: 34, retryAfterMs: 70},
			expected: {reason: 'no place at the instance in time (busy; 34 requests are ahead)', isUnreachable: false, retryAfterMs: 70},
		},
	] as const;
	for (const {outcome, expected} of cases) {
		it(`says that nothing was sent, and when to come back: ${JSON.stringify(outcome)}`, () => {
			expect(createNotEnteredAnswer(outcome)).to.deep.equal({kind: 'notSent', ...expected});
		});
	}
});
