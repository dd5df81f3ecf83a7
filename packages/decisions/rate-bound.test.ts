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
const loanSpanMs = 2000;
const driftMargin = 1.1;
const standbyUnits = burst / 4;
const standbySpanMs = 4000;
const runs = 400;

/**
 * One step of a schedule: time passes; a host asks for a loan; a message arrives or is lost; a request arrives; a host
 * borrows in one round trip without delay, spends all of its units, or restarts; the standby host renews its loan or
 * lends from it; the home host fails and the next one starts after the longest wait for open loans.
 */
type ScheduleStep =
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'requestLoan'; readonly host: number; readonly wanted: number}
	| {readonly kind: 'deliver'; readonly pick: number}
	| {readonly kind: 'lose'; readonly pick: number}
	| {readonly kind: 'request'; readonly host: number; readonly cost: number}
	| {readonly kind: 'borrow'; readonly host: number; readonly wanted: number; readonly needed: number}
	| {readonly kind: 'useAll'; readonly host: number}
	| {readonly kind: 'restart'; readonly host: number}
	| {readonly kind: 'renew'; readonly pick: number}
	| {readonly kind: 'borrowFromStandby'; readonly host: number; readonly wanted: number}
	| {readonly kind: 'loseHome'};

const scheduleStep: fc.Arbitrary<ScheduleStep> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 300, max: 2300}))})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('requestLoan' as const), host: fc.integer({min: 0, max: 3}), wanted: fc.integer({min: 1, max: 30})})},
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
	{weight: 4, arbitrary: fc.record({kind: fc.constant('borrowFromStandby' as const), host: fc.integer({min: 0, max: 3}), wanted: fc.integer({min: 1, max: 10})})},
	{weight: 1, arbitrary: fc.constant({kind: 'loseHome' as const})},
);

type Message = {readonly arrive: () => void};

/** Runs a schedule and returns the admitted costs with their times. */
function runSchedule(schedule: readonly ScheduleStep[]): ReadonlyArray<{readonly at: number; readonly cost: number}> {
	let now = 0;
	let home: HomeBucket = {level: 0, refilledAt: 0, loans: []};
	let standbyLoan: StandbyLoan = {id: 0, units: 0, expiresAt: 0};
	let homeGeneration = 0;
	let incarnation = 0;
	const names = ['a', 'b', 'c', 'd'];
	const accounts = new Map<number, LoanAccount>();
	const messages: Message[] = [];
	const admitted: Array<{at: number; cost: number}> = [];

	const requestLoan = (host: number, {wanted, needed}: {readonly wanted: number; readonly needed: number}) => {
		const name = names[host] ?? '';
		const {account, settled, id} = settleLoanAccount(accounts.get(host) ?? createLoanAccount(now));
		const requestedAt = now;
		const generation = homeGeneration;
		accounts.set(host, account);
		messages.push({
			arrive() {
				const units = lend({
					host: name, id, needed: Math.min(needed, wanted), wanted, settled, expiresAfterMs: loanSpanMs * driftMargin,
				}, generation) ?? 0;
				messages.push({
					arrive() {
						if (names[host] === name) {
							accounts.set(host, addLoan(accounts.get(host) ?? createLoanAccount(now), {id, units, expiresAt: requestedAt + loanSpanMs}));
						}
					},
				});
			},
		});
	};

	/** Lends at the home host, when it is the one that was asked and its predecessor has stopped lending. */
	const lend = (request: Omit<Parameters<typeof lendUnits>[1], 'rate' | 'burst' | 'now'>, generation: number) => {
		if (generation !== homeGeneration || now < home.refilledAt) {
			return undefined;
		}

		const lent = lendUnits(home, {
			...request, rate, burst, now,
		});
		home = lent.bucket;
		return lent.units;
	};

	const renew = (answerArrives: boolean) => {
		const settled = [{id: standbyLoan.id, used: 0, returned: standbyLoan.units}];
		const id = standbyLoan.id + 1;
		standbyLoan = {id, units: 0, expiresAt: now};
		const units = lend({
			host: 'standby', id, needed: 0, wanted: standbyUnits, settled, expiresAfterMs: standbySpanMs * driftMargin,
		}, homeGeneration);
		if (units !== undefined && answerArrives) {
			standbyLoan = {id, units, expiresAt: now + standbySpanMs};
		}
	};

	const borrowFromStandby = (host: number, wanted: number) => {
		const lent = lendStandbyUnits(standbyLoan, {
			needed: wanted, maxValidMs: loanSpanMs, driftMargin, now,
		});
		({loan: standbyLoan} = lent);
		const {account, id} = settleLoanAccount(accounts.get(host) ?? createLoanAccount(now));
		accounts.set(host, addLoan(account, {id, units: lent.units, expiresAt: now + lent.validMs}));
	};

	const request = (host: number, cost: number): boolean => {
		const spent = spendUnits(accounts.get(host) ?? createLoanAccount(now), {cost, isFirst: true, now});
		accounts.set(host, spent.account);
		if (spent.isSpent) {
			admitted.push({at: now, cost});
		}

		return spent.isSpent;
	};

	for (const step of schedule) {
		switch (step.kind) {
			case 'wait': {
				now += step.milliseconds;
				break;
			}

			case 'requestLoan': {
				requestLoan(step.host, {wanted: step.wanted, needed: 1});
				break;
			}

			case 'deliver': {
				messages.splice(step.pick % Math.max(1, messages.length), 1)[0]?.arrive();
				break;
			}

			case 'lose': {
				messages.splice(step.pick % Math.max(1, messages.length), 1);
				break;
			}

			case 'request': {
				request(step.host, step.cost);
				break;
			}

			case 'borrow': {
				requestLoan(step.host, step);
				messages.pop()?.arrive();
				messages.pop()?.arrive();
				break;
			}

			case 'useAll': {
				while (request(step.host, 1)) {
					// The account still holds a unit.
				}

				break;
			}

			case 'renew': {
				renew(step.pick > 0);
				break;
			}

			case 'borrowFromStandby': {
				borrowFromStandby(step.host, step.wanted);
				break;
			}

			case 'loseHome': {
				homeGeneration++;
				const since = now + (loanSpanMs * driftMargin);
				home = {
					level: 0, refilledAt: since, loans: [{
						host: '', id: 0, units: standbyUnits, expiresAt: since + (standbySpanMs * driftMargin),
					}],
				};
				break;
			}

			case 'restart': {
				incarnation++;
				accounts.delete(step.host);
				names[step.host] = `${step.host}/${incarnation}`;
				break;
			}
		}
	}

	return admitted;
}

/** Checks that the cost admitted over any interval is at most the burst plus the rate times the interval. */
function checkAdmitted(schedule: readonly ScheduleStep[]): void {
	const admitted = runSchedule(schedule);
	for (const [first, {at: from}] of admitted.entries()) {
		let sum = 0;
		for (const {at, cost} of admitted.slice(first)) {
			sum += cost;
			expect(sum).to.be.at.most(burst + (rate * (at - from) / 1000) + 1e-6);
		}
	}
}

/** One host borrows and spends all that the home host lends, another one all that the standby host lends. */
const spendFromBoth: readonly ScheduleStep[] = [
	...[30, 10].flatMap((units): readonly ScheduleStep[] => [
		{
			kind: 'borrow', host: 0, wanted: units, needed: units,
		},
		{kind: 'useAll', host: 0},
	]),
	{kind: 'borrowFromStandby', host: 1, wanted: 9},
	{kind: 'useAll', host: 1},
];

const schedules: ReadonlyArray<readonly [string, readonly ScheduleStep[]]> = [
	['a standby host that lends at the same time as its home host', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, ...spendFromBoth,
	]],
	['a standby host that lends at the same time as the next home host', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, {kind: 'loseHome'}, {kind: 'wait', milliseconds: 3200}, ...spendFromBoth,
	]],
	['a standby host whose loan has expired', [
		{kind: 'wait', milliseconds: 2000}, {kind: 'renew', pick: 1}, {kind: 'wait', milliseconds: 4500}, ...spendFromBoth,
	]],
];

describe('the bound on admitted cost', () => {
	for (const [title, schedule] of schedules) {
		it(`admits no more than burst plus rate times the interval with ${title}`, () => {
			checkAdmitted(schedule);
		});
	}

	it('admits no more than burst plus rate times the interval, when messages are lost or late and hosts restart', () => {
		fc.assert(fc.property(fc.array(scheduleStep, {minLength: 50, maxLength: 300}), schedule => {
			checkAdmitted(schedule);
		}), {numRuns: runs});
	});
});
