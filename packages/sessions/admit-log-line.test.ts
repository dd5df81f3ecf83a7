import {expect} from 'chai';
import {admitLogLine} from './admit-log-line.ts';
import type {LogLineBudget} from './log-line-budget.ts';

describe('admitLogLine', () => {
	const fresh: LogLineBudget = {startedAt: 0, written: 0, dropped: 0};
	const cases = [
		{
			name: 'writes a debug line below the limit', budget: fresh, line: {isDebug: true, isOutputFull: false, now: 10}, expected: {isWritten: true, written: 1, dropped: 0},
		},
		{
			name: 'drops debug lines first', budget: {...fresh, written: 20}, line: {isDebug: true, isOutputFull: false, now: 10}, expected: {isWritten: false, written: 20, dropped: 1},
		},
		{
			name: 'gives other lines a higher limit', budget: {...fresh, written: 20}, line: {isDebug: false, isOutputFull: false, now: 10}, expected: {isWritten: true, written: 21, dropped: 0},
		},
		{
			name: 'limits other lines too', budget: {...fresh, written: 200}, line: {isDebug: false, isOutputFull: false, now: 10}, expected: {isWritten: false, written: 200, dropped: 1},
		},
		{
			name: 'drops lines while the output is full', budget: fresh, line: {isDebug: false, isOutputFull: true, now: 10}, expected: {isWritten: false, written: 0, dropped: 1},
		},
		{
			name: 'resets the count of written lines per window, but not of dropped ones', budget: {startedAt: 0, written: 200, dropped: 7}, line: {isDebug: true, isOutputFull: false, now: 1000}, expected: {isWritten: true, written: 1, dropped: 7},
		},
	];
	for (const {name, budget, line, expected} of cases) {
		it(name, () => {
			const outcome = admitLogLine(budget, line);
			expect({isWritten: outcome.isWritten, written: outcome.budget.written, dropped: outcome.budget.dropped}).to.deep.equal(expected);
		});
	}
});
