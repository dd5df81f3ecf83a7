import {expect} from 'chai';
import {isAllocatorLeaseDue} from './is-allocator-lease-due.ts';

/** Lifetime in milliseconds that a share has left, at least, when its allocator is lost: claims renew it this early. */
const leastShareRemainingMs = 1300;

describe(isAllocatorLeaseDue.name, () => {
	const cases = [
		{
			name: 'a holder that answers', rank: 0, holder: 'present', since: undefined, now: 10_000, expected: false,
		},
		{
			name: 'a holder that has just left a claim unanswered', rank: 0, holder: 'present', since: 1000, now: 1300, expected: false,
		},
		{
			name: 'a holder in a zone that is cut off, by the first candidate', rank: 0, holder: 'present', since: 1000, now: 1510, expected: true,
		},
		{
			name: 'a holder in a zone that is cut off, before the next candidate\'s turn', rank: 2, holder: 'present', since: 1000, now: 1510, expected: false,
		},
		{
			name: 'a holder that is lost with the candidates of its zone, while hosts still hold their shares', rank: 9, holder: 'present', since: 1000, now: 1000 + leastShareRemainingMs, expected: true,
		},
		{
			name: 'a lease that nobody ever held, by the first candidate', rank: 0, holder: 'none', since: 1000, now: 1001, expected: true,
		},
		{
			name: 'a lease that nobody ever held, by the next candidate', rank: 1, holder: 'none', since: 1000, now: 1900, expected: false,
		},
		{
			name: 'a lease of an earlier era of the store, by the first candidate', rank: 0, holder: 'earlierEra', since: 1000, now: 1001, expected: true,
		},
		{
			name: 'a lease of an earlier era of the store, before the next candidate\'s turn', rank: 1, holder: 'earlierEra', since: 1000, now: 1100, expected: false,
		},
		{
			name: 'a lease of an earlier era of the store, by the next candidate', rank: 1, holder: 'earlierEra', since: 1000, now: 1130, expected: true,
		},
	] as const;
	for (const {name, expected, ...options} of cases) {
		it(`${expected ? 'is' : 'is not'} due for ${name}`, () => {
			expect(isAllocatorLeaseDue(options)).to.equal(expected);
		});
	}
});
