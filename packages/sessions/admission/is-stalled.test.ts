import {expect} from 'chai';
import {isStalled} from './is-stalled.ts';

describe('isStalled', () => {
	const cases = [
		{
			name: 'an idle session', progress: {messageSince: undefined, unreadSince: undefined}, expected: false,
		},
		{
			name: 'a large message on a slow link', progress: {messageSince: 50_001, unreadSince: undefined}, expected: false,
		},
		{
			name: 'a message that stops half-way', progress: {messageSince: 50_000, unreadSince: undefined}, expected: true,
		},
		{
			name: 'a client that does not read', progress: {messageSince: 59_000, unreadSince: 50_000}, expected: true,
		},
	];
	for (const {name, progress, expected} of cases) {
		it(`finds ${name} ${expected ? 'stalled' : 'going on'}`, () => {
			expect(isStalled(progress, 60_000)).to.equal(expected);
		});
	}
});
