import {expect} from 'chai';
import {admitLogLine} from './admit-log-line.ts';
import type {LogLineBudget} from './log-line-budget.ts';

describe('admitLogLine', () => {
	const fresh: LogLineBudget = {startedAt: 0, written: 0, dropped: 0};
	const cases = [
		{
			name: 'writes an ordinary line', budget: fresh, line: {isOrdinary: true, isBlocked: false, now: 10}, expected: {isWritten: true, written: 1, dropped: 0},
		},
		{
			name: 'leaves ordinary lines out first under load', budget: {...fresh, written: 20}, line: {isOrdinary: true, isBlocked: false, now: 10}, expected: {isWritten: false, written: 20, dropped: 1},
		},
		{
			name: 'keeps failures longer', budget: {...fresh, written: 20}, line: {isOrdinary: false, isBlocked: false, now: 10}, expected: {isWritten: true, written: 21, dropped: 0},
		},
		{
			name: 'bounds failures too', budget: {...fresh, written: 200}, line: {isOrdinary: false, isBlocked: false, now: 10}, expected: {isWritten: false, written: 200, dropped: 1},
		},
		{
			name: 'drops lines that nobody reads rather than wait', budget: fresh, line: {isOrdinary: false, isBlocked: true, now: 10}, expected: {isWritten: false, written: 0, dropped: 1},
		},
		{
			name: 'begins anew each second, and keeps the count of what was left out', budget: {startedAt: 0, written: 200, dropped: 7}, line: {isOrdinary: true, isBlocked: false, now: 1000}, expected: {isWritten: true, written: 1, dropped: 7},
		},
	];
	for (const {name, budget, line, expected} of cases) {
		it(name, () => {
			const outcome = admitLogLine(budget, line);
			expect({isWritten: outcome.isWritten, written: outcome.budget.written, dropped: outcome.budget.dropped}).to.deep.equal(expected);
		});
	}
});
