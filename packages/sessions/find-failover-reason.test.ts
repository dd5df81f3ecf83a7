import {expect} from 'chai';
import {findFailoverReason} from './find-failover-reason.ts';

const health = {
	latency: 30, hasAnswered: true, lastAnswerAt: 0, unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
};
const row = {
	epoch: 3, state: 'serving', primary: 'i-1', successor: '', holder: 'a1', token: 2, version: 1,
} as const;
const healthy = {
	row,
	restoredSince: undefined,
	isDeparting: false,
	isEvacuated: false,
	missingSince: undefined,
	isDemoted: false,
	health,
	gatewaysSilentSince: undefined,
	hasHolderEnded: false,
	hasFailoverLock: false,
	fencedAt: undefined,
	isListFresh: true,
	now: 10_000,
};

describe('findFailoverReason', () => {
	const cases = [
		{name: 'keeps a healthy primary', seen: healthy, expected: undefined},
		{name: 'replaces a departing primary', seen: {...healthy, isDeparting: true}, expected: 'departing'},
		{name: 'does not act on a stale list', seen: {...healthy, isDeparting: true, isListFresh: false}, expected: undefined},
		{name: 'takes a primary out of an evacuated zone', seen: {...healthy, isEvacuated: true}, expected: 'evacuated'},
		{name: 'moves no primary by a stale list', seen: {...healthy, isEvacuated: true, isListFresh: false}, expected: undefined},
		{name: 'needs no vote about a silent primary of an evacuated zone', seen: {...healthy, isEvacuated: true, health: {...health, unansweredSince: 9000}}, expected: 'evacuated'},
		{name: 'waits for an expired entry to be renewed', seen: {...healthy, missingSince: 8000}, expected: undefined},
		{name: 'replaces a primary that stays unlisted', seen: {...healthy, missingSince: 7000}, expected: 'missing'},
		// Guards against hosts that stay with a replica as their primary for ever, because it answers.
		{name: 'replaces a primary that says that it is a replica', seen: {...healthy, isDemoted: true}, expected: 'demoted'},
		{
			name: 'leaves a primary that says that it is a replica to the failover that runs', seen: {
				...healthy, row: {...row, state: 'fencing' as const}, fencedAt: 9000, isDemoted: true,
			}, expected: undefined,
		},
		{
			// Guards against a group without a primary for as long as its demoted one is listed but cannot be asked for its role.
			name: 'suspects a primary that said that it is a replica and does not answer since',
			seen: {...healthy, isDemoted: true, health: {...health, unansweredSince: 9000}},
			expected: 'silent',
		},
		{name: 'suspects a primary that does not answer', seen: {...healthy, health: {...health, unansweredSince: 9000}}, expected: 'silent'},
		{name: 'waits for a slow answer', seen: {...healthy, health: {...health, unansweredSince: 9700}}, expected: undefined},
		{name: 'suspects a primary in a zone that has gone silent', seen: {...healthy, gatewaysSilentSince: 9500}, expected: 'silent'},
		{name: 'waits for gateways that have just been asked', seen: {...healthy, gatewaysSilentSince: 9700}, expected: undefined},
		{name: 'leaves a running failover to its host', seen: {...healthy, row: {...row, state: 'fencing' as const}, fencedAt: 6000}, expected: undefined},
		{name: 'resumes a failover that its host abandoned', seen: {...healthy, row: {...row, state: 'fencing' as const}, fencedAt: 4000}, expected: 'abandoned'},
		{
			// Guards against failovers of many groups that wait for each other, since each has a host of its own.
			name: 'resumes a failover whose host waits for the lock that this host uses',
			seen: {
				...healthy, row: {...row, state: 'fencing' as const, token: 0}, fencedAt: 9900, hasFailoverLock: true,
			},
			expected: 'abandoned',
		},
		{
			name: 'leaves a failover to its host that waits for the lock of another one', seen: {...healthy, row: {...row, state: 'fencing' as const, token: 0}, fencedAt: 9900}, expected: undefined,
		},
		{name: 'lets hosts confirm a primary after the store came back older', seen: {...healthy, restoredSince: 8000}, expected: undefined},
		{name: 'replaces a primary that could not be confirmed', seen: {...healthy, restoredSince: 7000}, expected: 'restored'},
		{
			name: 'does not wait for a silent primary to be confirmed', seen: {...healthy, restoredSince: 9000, health: {...health, unansweredSince: 9000}}, expected: 'silent',
		},
		{
			// Guards against resuming a failover that has ended since, in seconds that the store has lost.
			name: 'does not resume a failover of an earlier era', seen: {
				...healthy, row: {...row, state: 'fencing' as const}, fencedAt: 4000, hasHolderEnded: true, restoredSince: 9000,
			}, expected: undefined,
		},
		{
			name: 'resumes at once a failover whose host was started again, as after a loss of power of all hosts', seen: {
				...healthy, row: {...row, state: 'fencing' as const}, fencedAt: 9900, hasHolderEnded: true,
			}, expected: 'abandoned',
		},
	];
	for (const {name, seen, expected} of cases) {
		it(name, () => {
			expect(findFailoverReason(seen)).to.equal(expected);
		});
	}
});
