import {expect} from 'chai';
import {findOverdueReason} from './find-overdue-reason.ts';

const idle = {
	openedAt: 0, hasStarted: true, messageSince: undefined, unreadSince: undefined,
};

describe('findOverdueReason', () => {
	const cases = [
		{
			name: 'a session that is idle for a day', progress: idle, now: 86_400_000, expected: undefined,
		},
		{
			name: 'a connection that has just opened', progress: {...idle, hasStarted: false}, now: 9999, expected: undefined,
		},
		{
			name: 'a connection that never starts a session', progress: {...idle, hasStarted: false}, now: 10_000, expected: 'The session was not started in time',
		},
		{
			name: 'a large message on a slow link', progress: {...idle, messageSince: 1000}, now: 60_999, expected: undefined,
		},
		{
			name: 'a message that stops half-way', progress: {...idle, messageSince: 1000}, now: 61_000, expected: 'The message was not complete in time',
		},
		{
			name: 'a large answer on a slow link', progress: {...idle, unreadSince: 1000}, now: 60_999, expected: undefined,
		},
		{
			name: 'a client that does not read', progress: {...idle, unreadSince: 1000}, now: 61_000, expected: 'The answers were not taken in time',
		},
	];
	for (const {name, progress, now, expected} of cases) {
		it(`finds ${expected === undefined ? 'nothing overdue' : 'a reason to close'}: ${name}`, () => {
			expect(findOverdueReason(progress, now)).to.equal(expected);
		});
	}
});
