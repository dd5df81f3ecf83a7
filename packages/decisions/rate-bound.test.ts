import {expect} from 'chai';
import fc from 'fast-check';
import {addLoan} from './add-loan.ts';
import {createLoanAccount} from './create-loan-account.ts';
import {lendStandbyUnits} from './lend-standby-units.ts';
import {lendUnits} from './lend-units.ts';
import {settleLoanAccount} from './settle-loan-account.ts';
import {spendUnits} from './spend-units.ts';
import type {HomeBucket} from './home-bucket.ts';
import type {LoanAccount} from './loan-account.ts';
import type {StandbyLoan} from './standby-loan.ts';

const rate = 50;
const burst = 40;
const span = 2000;
const driftMargin = 1.1;
const standbyUnits = burst / 4;
const standbySpan = 4000;
const runs = 400;

/**
 * What happens next in a random schedule: time passes, a host asks, a message arrives or is lost, a request comes,
 * a host borrows in one quick round trip, uses all that it has, or restarts; the standby renews its stock or lends
 * from it, or the home is lost and another begins with the longest wait behind it.
 */
type Happening =
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'ask'; readonly host: number; readonly wanted: number}
	| {readonly kind: 'deliver'; readonly pick: number}
	| {readonly kind: 'lose'; readonly pick: number}
	| {readonly kind: 'request'; readonly host: number; readonly cost: number}
	| {readonly kind: 'borrow'; readonly host: number; readonly wanted: number; readonly needed: number}
	| {readonly kind: 'useAll'; readonly host: number}
	| {readonly kind: 'restart'; readonly host: number}
	| {readonly kind: 'renew'; readonly pick: number}
	| {readonly kind: 'borrowStock'; readonly host: number; readonly wanted: number}
	| {readonly kind: 'loseHome'};

const happening: fc.Arbitrary<Happening> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 300, max: 2300}))})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('ask' as const), host: fc.integer({min: 0, max: 3}), wanted: fc.integer({min: 1, max: 30})})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lose' as const), pick: fc.nat(20)})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('request' as const), host: fc.integer({min: 0, max: 3}), cost: fc.integer({min: 1, max: 6})})},
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('borrow' as const), host: fc.integer({min: 0, max: 3}), wanted: fc.integer({min: 1, max: 40}), needed: fc.integer({min: 1, max: 20}),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('useAll' as const), host: fc.integer({min: 0, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const), host: fc.integer({min: 0, max: 3})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('renew' as const), pick: fc.nat(3)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('borrowStock' as const), host: fc.integer({min: 0, max: 3}), wanted: fc.integer({min: 1, max: 10})})},
	{weight: 1, arbitrary: fc.constant({kind: 'loseHome' as const})},
);

type Message = {readonly arrive: () => void};

/** Plays a schedule and returns the admitted costs with their times. */
function play(schedule: readonly Happening[]): ReadonlyArray<{readonly at: number; readonly cost: number}> {
	let now = 0;
	let home: HomeBucket = {level: 0, refilledAt: 0, loans: []};
	let stock: StandbyLoan = {id: 0, units: 0, expiresAt: 0};
	let homeNumber = 0;
	let incarnation = 0;
	const names = ['a', 'b', 'c', 'd'];
	const purses = new Map<number, LoanAccount>();
	const messages: Message[] = [];
	const admitted: Array<{at: number; cost: number}> = [];

	const ask = (host: number, {wanted, needed}: {readonly wanted: number; readonly needed: number}) => {
		const name = names[host] ?? '';
		const {account: purse, settled, id} = settleLoanAccount(purses.get(host) ?? createLoanAccount(now));
		const askedAt = now;
		const number = homeNumber;
		purses.set(host, purse);
		messages.push({
			arrive() {
				const units = lend({
					host: name, id, needed: Math.min(needed, wanted), wanted, settled, span: span * driftMargin,
				}, number) ?? 0;
				messages.push({
					arrive() {
						if (names[host] === name) {
							purses.set(host, addLoan(purses.get(host) ?? createLoanAccount(now), {id, units, expiresAt: askedAt + span}));
						}
					},
				});
			},
		});
	};

	/** The home lends if it is the one that was asked, and the one before it has stopped. */
	const lend = (asked: Omit<Parameters<typeof lendUnits>[1], 'rate' | 'burst' | 'now'>, number: number) => {
		if (number !== homeNumber || now < home.refilledAt) {
			return undefined;
		}

		const lent = lendUnits(home, {
			...asked, rate, burst, now,
		});
		home = lent.bucket;
		return lent.units;
	};

	const renew = (answerArrives: boolean) => {
		const settled = [{id: stock.id, used: 0, returned: stock.units}];
		const id = stock.id + 1;
		stock = {id, units: 0, expiresAt: now};
		const units = lend({
			host: 'standby', id, needed: 0, wanted: standbyUnits, settled, span: standbySpan * driftMargin,
		}, homeNumber);
		if (units !== undefined && answerArrives) {
			stock = {id, units, expiresAt: now + standbySpan};
		}
	};

	const borrowStock = (host: number, wanted: number) => {
		const lent = lendStandbyUnits(stock, {
			needed: wanted, longestSpan: span, driftMargin, now,
		});
		({loan: stock} = lent);
		const {account: purse, id} = settleLoanAccount(purses.get(host) ?? createLoanAccount(now));
		purses.set(host, addLoan(purse, {id, units: lent.units, expiresAt: now + lent.span}));
	};

	const request = (host: number, cost: number): boolean => {
		const spent = spendUnits(purses.get(host) ?? createLoanAccount(now), {cost, isFirst: true, now});
		purses.set(host, spent.account);
		if (spent.isSpent) {
			admitted.push({at: now, cost});
		}

		return spent.isSpent;
	};

	for (const next of schedule) {
		switch (next.kind) {
			case 'wait': {
				now += next.milliseconds;
				break;
			}

			case 'ask': {
				ask(next.host, {wanted: next.wanted, needed: 1});
				break;
			}

			case 'deliver': {
				messages.splice(next.pick % Math.max(1, messages.length), 1)[0]?.arrive();
				break;
			}

			case 'lose': {
				messages.splice(next.pick % Math.max(1, messages.length), 1);
				break;
			}

			case 'request': {
				request(next.host, next.cost);
				break;
			}

			case 'borrow': {
				ask(next.host, next);
				messages.pop()?.arrive();
				messages.pop()?.arrive();
				break;
			}

			case 'useAll': {
				while (request(next.host, 1)) {
					// The purse still holds a unit.
				}

				break;
			}

			case 'renew': {
				renew(next.pick > 0);
				break;
			}

			case 'borrowStock': {
				borrowStock(next.host, next.wanted);
				break;
			}

			case 'loseHome': {
				homeNumber++;
				const since = now + (span * driftMargin);
				home = {
					level: 0, refilledAt: since, loans: [{
						host: '', id: 0, units: standbyUnits, expiresAt: since + (standbySpan * driftMargin),
					}],
				};
				break;
			}

			case 'restart': {
				incarnation++;
				purses.delete(next.host);
				names[next.host] = `${next.host}/${incarnation}`;
				break;
			}
		}
	}

	return admitted;
}

/** Checks that over any interval no more is admitted than the burst and the rate times the interval. */
function checkAdmitted(schedule: readonly Happening[]): void {
	const admitted = play(schedule);
	for (const [first, {at: from}] of admitted.entries()) {
		let sum = 0;
		for (const {at, cost} of admitted.slice(first)) {
			sum += cost;
			expect(sum).to.be.at.most(burst + (rate * (at - from) / 1000) + 1e-6);
		}
	}
}

/** A host borrows all it can get from the home and uses it, and another from the standby. */
const useBoth: readonly Happening[] = [
	...[30, 10].flatMap((units): readonly Happening[] => [
		{
			kind: 'borrow', host: 0, wanted: units, needed: units,
		},
		{kind: 'useAll', host: 0},
	]),
	{kind: 'borrowStock', host: 1, wanted: 9},
	{kind: 'useAll', host: 1},
];

const schedules: ReadonlyArray<readonly [string, readonly Happening[]]> = [
	['a standby that lends beside its home', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, ...useBoth,
	]],
	['a standby that lends beside the next home', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, {kind: 'loseHome'}, {kind: 'wait', milliseconds: 3200}, ...useBoth,
	]],
	['a standby whose stock has run out of time', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, {kind: 'wait', milliseconds: 4500}, ...useBoth,
	]],
];

describe('the bound on rate and burst', () => {
	for (const [title, schedule] of schedules) {
		it(`admits no more than burst plus rate times the interval with ${title}`, () => {
			checkAdmitted(schedule);
		});
	}

	it('admits no more than burst plus rate times the interval, whatever is lost, late or restarted', () => {
		fc.assert(fc.property(fc.array(happening, {minLength: 50, maxLength: 300}), schedule => {
			checkAdmitted(schedule);
		}), {numRuns: runs});
	});
});
