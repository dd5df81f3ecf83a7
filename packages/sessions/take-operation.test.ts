import {expect} from 'chai';
import fc from 'fast-check';
import type {ShareState} from './share-state.ts';
import {takeOperation} from './take-operation.ts';

const bound = {window: 5000, overage: 0.1, slack: 20};
const at = (steady: number) => ({steady, wall: steady});

describe('takeOperation', () => {
	it('keeps every window within the bound when one workspace overloads all hosts', () => {
		const overload = fc.record({
			rate: fc.integer({min: 5, max: 300}), hostCount: fc.integer({min: 1, max: 12}), weights: fc.array(fc.integer({min: 1, max: 20}), {minLength: 12, maxLength: 12}),
		});
		fc.assert(fc.property(overload, ({rate, hostCount, weights}) => {
			const limits = {rate, burst: rate};
			const used = weights.slice(0, hostCount);
			const sum = used.reduce((total, weight) => total + weight, 0);
			const taken: number[] = [];
			for (const weight of used) {
				let share: ShareState = {
					rate: rate * weight / sum, requestedAt: at(0), spanMs: 1e9, tokens: 0, refilledAt: 0, demand: 0, demandAt: 0,
				};
				for (let now = 0; now < 16_000; now += 20) {
					const outcome = takeOperation(share, {
						limits, bound, hostCount, now: at(now), isFirst: true,
					});
					({share} = outcome);
					if (outcome.isTaken && now >= 8000) {
						taken.push(now);
					}
				}
			}

			const allowed = (((rate * 5) + rate) * 1.1) + 20;
			for (let start = 8000; start < 11_000; start += 500) {
				expect(taken.filter(now => now >= start && now < start + 5000).length).to.be.at.most(allowed);
			}
		}), {numRuns: 30});
	});

	it('grants no operation to a process that has just started', () => {
		expect(takeOperation(undefined, {
			limits: {rate: 100, burst: 100}, bound, hostCount: 9, now: at(0), isFirst: true,
		}).isTaken).to.equal(false);
	});

	it('returns when to retry', () => {
		const {retryAfter} = takeOperation(undefined, {
			limits: {rate: 100, burst: 100}, bound, hostCount: 9, now: at(0), isFirst: true,
		});
		expect(retryAfter).to.be.within(50, 2000);
	});
});
