import {expect} from 'chai';
import {busyStatus} from './_busy-status.ts';
import {failoverTimes} from './_failover-times.ts';
import {runFailover} from './_run-failover.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import {promotionLimitMs} from './promotion-limit-ms.ts';

/** Lifetime in milliseconds of the longest lease that a host of any version may hold. */
const longestLeaseMs = 2500;

describe('replacePrimary', () => {
	const cases = [
		{
			name: 'promotes the instance with the newest log',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': undefined, 'i-b': 'replica 2 1.7', 'i-c': 'primary 2 1.9'},
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'stores only the instance whose promotion was ordered, even when the old primary comes back',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-new': undefined},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7', 'i-new': 'primary 1 1.9'},
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			// Guards against keeping a primary that was replaced in seconds that the store has lost, while the new one is cut off.
			name: 'replaces a primary that answers if a later one may be silent',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.7', 'i-c': undefined},
				statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': 'primary 3 1.7', 'i-c': undefined},
				mayHaveMissedPromotion: true,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'keeps a primary that was silent only briefly',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.7'},
				statusesAfter: {},
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			name: 'takes the instance that leads if the primary says that it is a replica',
			given: {
				statuses: {'i-old': 'replica 2 2.9', 'i-b': 'primary 2 2.9', 'i-c': undefined},
				statusesAfter: {},
				reason: 'demoted' as const,
				term: 1,
			},
			expected: {primary: 'i-b', ordered: []},
		},
		{
			name: 'promotes an instance if the primary says that it is a replica and none leads',
			given: {
				statuses: {'i-old': 'replica 2 2.9', 'i-b': 'replica 2 2.9', 'i-c': undefined},
				statusesAfter: {'i-old': 'replica 3 2.9', 'i-b': 'primary 3 2.9', 'i-c': undefined},
				reason: 'demoted' as const,
				term: 1,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'replaces a departing primary even though it answers',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'primary 2 1.9'},
				reason: 'departing' as const,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'moves a primary out of an evacuated zone, and not into another one',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.9'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'waits for an instance outside of the evacuated zones that does not answer at first',
			given: {
				statusesFirst: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': undefined},
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.9'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.9'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-c', ordered: ['i-c']},
		},
		{
			name: 'leaves a primary in its evacuated zone where nothing else answers',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': undefined},
				statusesAfter: {},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against the loss of acknowledged commits that only an instance of an evacuated zone has received beside the primary.
			name: 'leaves a primary in its evacuated zone while no instance elsewhere has its whole log',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'replica 2 1.9', 'i-c': 'primary 2 1.5'},
				reason: 'evacuated' as const,
				evacuated: ['i-old', 'i-b'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			name: 'leaves a primary in its evacuated zone while its only replica lacks a part of its log',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': 'replica 2 1.9', 'i-c': 'primary 2 1.5'},
				reason: 'evacuated' as const,
				evacuated: ['i-old'],
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against the loss of acknowledged commits; the next failover takes the primary out of the zone.
			name: 'promotes the instance with the newest log in an evacuated zone if the primary is lost',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.5'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.5'},
				evacuated: ['i-b'],
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'leaves a primary where it is whose zone was taken back meanwhile',
			given: {
				statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
				statusesAfter: {},
				reason: 'evacuated' as const,
			},
			expected: {primary: 'i-old', ordered: []},
		},
		{
			// Guards against a status whose term is no number, beside which no instance counts as the leader.
			name: 'leaves out an instance whose status cannot be read',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7', 'i-c': 'replica x 1.9'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7', 'i-c': 'replica x 1.9'},
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
		{
			name: 'reads the store when answers to commits are lost',
			given: {
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
				isLosing: true,
			},
			expected: {primary: 'i-b', ordered: ['i-b']},
		},
	];
	for (const {name, given, expected} of cases) {
		it(name, async () => {
			const {row, ordered} = await runFailover(given);
			expect({primary: row.primary, ordered}).to.deep.equal(expected);
			expect(row).to.include({state: 'serving', epoch: 2, holder: 'a1'});
		});
	}

	const leases = [
		{name: 'of this version', recentHosts: [], leaseMs: leaseDurationMs},
		{
			name: 'of a version that does not register its lease',
			recentHosts: [{
				name: 'c1', zone: 'c', address: '', incarnation: 1,
			}],
			leaseMs: longestLeaseMs,
		},
	];
	for (const {name, recentHosts, leaseMs} of leases) {
		// Guards against a promotion while hosts that registered in seconds that the store has lost hold leases on the old primary.
		it(`waits with a promotion until leases of an earlier era of the store have expired, at hosts ${name}`, async () => {
			const remainingMs = 900;
			const {orderedAfter} = await runFailover({
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
				eraSince: performance.now() - leaseMs + remainingMs,
				recentHosts,
			});
			expect(orderedAfter).to.be.at.least(remainingMs);
		});
	}

	it('orders a promotion without waiting for a primary that was found silent', async () => {
		const {orderedAfter} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.7'},
			statusesAfter: {'i-old': undefined, 'i-b': 'primary 2 1.7'},
		});
		expect(orderedAfter).to.be.below(failoverTimes.unreachableAfterMs / 2);
	});

	// Guards against losing acknowledged commits in a planned failover because the old primary was too busy to say how far its log goes.
	it('lets a replica catch up with a departing primary that is too busy to tell its status at first', async () => {
		const {row, ordered, orderedAfter} = await runFailover({
			statusesFirst: {'i-old': busyStatus, 'i-b': 'replica 1 1.7'},
			statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': 'primary 2 1.9'},
			reason: 'departing',
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(orderedAfter).to.be.above(failoverTimes.firstMs);
		expect(row).to.include({state: 'serving', primary: 'i-b'});
	});

	for (const duringOrder of ['takeover', 'suspension'] as const) {
		// Guards against two hosts that order promotions in the same failover, one of them with a lower fencing token.
		it(`orders nothing more after a ${duringOrder}`, async () => {
			const silent = {'i-old': undefined, 'i-b': 'replica 1 1.7'};
			const {ordered, row} = await runFailover({
				statuses: silent, statusesAfter: silent, answers: ['lost', 'lost'], duringOrder,
			});
			expect(ordered).to.deep.equal(['i-b']);
			expect(row).to.include({state: 'fencing'});
		});
	}

	// Guards against two primaries: one that stays, and one whose promotion was ordered before and takes effect late.
	it('does not keep the old primary after a refused order while an earlier order may take effect', async () => {
		const {row} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': undefined, 'i-c': 'replica 1 1.7'},
			statusesLate: {'i-old': 'primary 1 1.9', 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.7'},
			answers: ['lost', ...Array.from({length: 40}, () => 'refused' as const)],
		});
		expect(row).to.include({state: 'serving', primary: 'i-b'});
	});

	const replacedSuccessors = [
		{name: 'that gave no answer', answers: ['lost'] as const},
		{name: 'that was accepted', answers: ['accepted'] as const},
		{name: 'that gave no answer before a refused one', answers: ['lost', 'refused'] as const},
	];
	for (const {name, answers} of replacedSuccessors) {
		// Guards against two promotions in turn: the later one of the stored primary, and an earlier one that takes effect after it.
		it(`orders the promotion of another instance only once an order ${name} can take effect no more`, async () => {
			const {row, ordered, orderTimes} = await runFailover({
				statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-b': answers.length > 1 ? 'replica 1 1.9' : undefined, 'i-c': 'replica 1 1.7'},
				statusesLate: {'i-old': undefined, 'i-b': undefined, 'i-c': 'primary 3 1.7'},
				lateAfterMs: promotionLimitMs + 1000,
				answers,
			});
			expect(row).to.include({state: 'serving', primary: 'i-c'});
			const effective = ordered.map((instance, index) => ({instance, at: orderTimes[index] ?? 0})).filter((_, index) => answers[index] !== 'refused');
			const lastOfOther = effective.findLast(({instance}) => instance === 'i-b');
			const first = effective.find(({instance}) => instance === 'i-c');
			expect((first?.at ?? 0) - (lastOfOther?.at ?? 0)).to.be.at.least(promotionLimitMs);
		});
	}

	it('keeps the old primary after a refused order once no earlier order can take effect', async () => {
		const {row} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-b': undefined, 'i-c': 'replica 1 1.7'},
			statusesLate: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			answers: ['lost', ...Array.from({length: 40}, () => 'refused' as const)],
		});
		expect(row).to.include({state: 'serving', primary: 'i-old'});
	});

	const earlierPrimaries = [
		{
			name: 'does not keep an earlier primary that has not stepped down, while the present one is silent',
			given: {
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesAfter: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
				statusesLate: {'i-old': undefined, 'i-first': 'primary 3 1.9', 'i-c': 'replica 3 1.7'},
			},
		},
		{
			name: 'does not store an earlier primary as successor before its promotion takes effect',
			given: {
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': 'replica 2 1.7'},
				statusesAfter: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': undefined},
				statusesLate: {'i-old': undefined, 'i-first': 'primary 3 1.9', 'i-c': 'replica 3 1.7'},
			},
		},
	];
	for (const {name, given} of earlierPrimaries) {
		// Guards against commits at an earlier primary, which acknowledges them until it hears of the present one and rolls them back.
		it(name, async () => {
			const {row, ordered, storedAfterOrder} = await runFailover({...given, term: 2});
			expect(row).to.include({state: 'serving', primary: 'i-first'});
			expect(ordered).to.deep.equal(['i-first']);
			expect(storedAfterOrder).to.be.above(failoverTimes.lateEffectMs);
		});
	}

	// Guards against commits at a primary that was replaced in seconds that the store has lost, once the new one is gone.
	it('does not keep a primary of an older term than the host knew before the store came back from an older copy', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'primary 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.9', 'i-c': 'primary 3 1.7'},
			reason: 'restored',
			mayHaveMissedPromotion: true,
			era: 2,
			known: {
				row: {
					epoch: 2, state: 'serving', primary: 'i-b', term: 2, successor: '', holder: 'a1', token: 1,
				}, epoch: 2,
			},
			term: 1,
		});
		expect(ordered).to.deep.equal(['i-c']);
		expect(row).to.include({state: 'serving', primary: 'i-c', term: 3});
	});

	// Guards against a group without a primary for ever, once all its instances have started again and know no earlier term.
	it('stores the promoted instance though the terms of all instances begin anew', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'replica 1 1.0', 'i-b': 'replica 1 1.0', 'i-c': 'replica 1 1.0'},
			statusesAfter: {'i-old': 'replica 2 1.0', 'i-b': 'primary 2 1.0', 'i-c': 'replica 2 1.0'},
			term: 5,
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'serving', primary: 'i-b', term: 2});
	});

	// Guards against losing all commits without a promotion, because the primary started again under its id with an empty log.
	it('does not keep a primary whose log lacks commits of its term that a replica holds', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': 'primary 1 1.0', 'i-b': 'replica 1 1.9', 'i-c': 'replica 1 1.7'},
			statusesAfter: {'i-old': 'primary 1 1.0', 'i-b': 'primary 2 1.9', 'i-c': 'replica 2 1.7'},
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'serving', primary: 'i-b', term: 2});
	});

	const newerLogs = [
		{name: 'promotes an instance that answers late rather than one that knows nothing of the term of the lost primary', late: 'replica 2 2.12', expected: 'i-c'},
		{name: 'promotes an instance that knows nothing of the term of the lost primary if no other one answers', late: undefined, expected: 'i-first'},
	];
	for (const {name, late, expected} of newerLogs) {
		// Guards against losing all commits of a term because the instance that holds them was busy for a moment.
		it(name, async () => {
			const {row, ordered} = await runFailover({
				statusesFirst: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': undefined},
				statuses: {'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': late},
				statusesAfter: {
					'i-old': undefined, 'i-first': 'primary 1 1.9', 'i-c': late, [expected]: 'primary 3 2.12',
				},
				term: 2,
			});
			expect(ordered).to.deep.equal([expected]);
			expect(row).to.include({state: 'serving', primary: expected, term: 3});
		});
	}

	// Guards against two hosts that order promotions by turns, and against a promotion that is never ordered.
	it('orders a promotion only once it has the failover lock that another host used', async () => {
		const {row, ordered, orderedAfter} = await runFailover({
			statuses: {'i-old': 'primary 1 1.9', 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': 'replica 2 1.9', 'i-b': 'primary 2 1.9'},
			reason: 'departing',
			isLockUsed: true,
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(orderedAfter).to.be.above(failoverTimes.goneAfterMs);
		expect(row).to.include({state: 'serving', primary: 'i-b', token: 8});
	});

	// Guards against an order with a token below that of the host to which the lock went.
	it('orders nothing more with the token of a failover lock that another host has taken', async () => {
		const {row, ordered} = await runFailover({
			statuses: {'i-old': undefined, 'i-b': 'replica 1 1.9'},
			statusesAfter: {'i-old': undefined, 'i-b': 'replica 1 1.9'},
			duringOrder: 'lock',
		});
		expect(ordered).to.deep.equal(['i-b']);
		expect(row).to.include({state: 'fencing', holder: 'a1'});
	});
});
