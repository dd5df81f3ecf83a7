import {expect} from 'chai';
import {chooseWaiter} from './choose-waiter.ts';

const createWaiter = (workspace: string, {priority = 1, passes = 0, isBlocked = false} = {}) => ({
	workspace, priority, passes, isBlocked,
});

describe('chooseWaiter', () => {
	const cases = [
		{
			name: 'keeps the order when none has an idle connection', waiters: [createWaiter('first'), createWaiter('second')], expected: 'first',
		},
		{
			name: 'prefers one with an idle connection', waiters: [createWaiter('first'), createWaiter('idle')], expected: 'idle',
		},
		{
			name: 'goes by priority first', waiters: [createWaiter('idle', {priority: 2}), createWaiter('urgent')], expected: 'urgent',
		},
		{
			name: 'lets one go that others have passed often', waiters: [createWaiter('first', {passes: 4}), createWaiter('idle')], expected: 'first',
		},
		{
			name: 'skips one that cannot enter', waiters: [createWaiter('first', {isBlocked: true}), createWaiter('second')], expected: 'second',
		},
		{
			name: 'chooses none when none can enter', waiters: [createWaiter('first', {isBlocked: true})], expected: undefined,
		},
	];
	for (const {name, waiters, expected} of cases) {
		it(name, () => {
			const chosen = chooseWaiter(waiters, {isBlocked: ({isBlocked}) => isBlocked, hasIdle: workspace => workspace === 'idle'});
			expect(chosen?.workspace).to.equal(expected);
		});
	}
});
