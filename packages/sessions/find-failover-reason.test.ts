import {expect} from 'chai';
import {findFailoverReason} from './find-failover-reason.ts';

const health = {
	latency: 30, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const row = {
	epoch: 3, state: 'serving', primary: 'i-1', successor: '', holder: 'a1', token: 2,
} as const;
const calm = {
	row, isDeparting: false, missingSince: undefined, health, fencedAt: undefined, isListFresh: true, now: 10_000,
};

describe('findFailoverReason', () => {
	const cases = [
		{name: 'leaves a calm primary alone', seen: calm, expected: undefined},
		{name: 'replaces one that departs', seen: {...calm, isDeparting: true}, expected: 'departing'},
		{name: 'does not trust an old list', seen: {...calm, isDeparting: true, isListFresh: false}, expected: undefined},
		{name: 'gives a lapsed entry time to come back', seen: {...calm, missingSince: 8000}, expected: undefined},
		{name: 'replaces one whose entry stays away', seen: {...calm, missingSince: 7000}, expected: 'missing'},
		{name: 'suspects one that answers nothing', seen: {...calm, health: {...health, unansweredSince: 9000}}, expected: 'silent'},
		{name: 'waits for a slow answer', seen: {...calm, health: {...health, unansweredSince: 9500}}, expected: undefined},
		{name: 'leaves a replacement to the host that makes it', seen: {...calm, row: {...row, state: 'fencing' as const}, fencedAt: 6000}, expected: undefined},
		{name: 'goes on with one that its host left behind', seen: {...calm, row: {...row, state: 'fencing' as const}, fencedAt: 4000}, expected: 'abandoned'},
	];
	for (const {name, seen, expected} of cases) {
		it(name, () => {
			expect(findFailoverReason(seen)).to.equal(expected);
		});
	}
});
