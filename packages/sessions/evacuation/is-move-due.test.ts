import {expect} from 'chai';
import {isMoveDue} from './is-move-due.ts';

describe('isMoveDue', () => {
	const evacuated = {
		isEvacuated: true, hasSuccessor: true, stayedAt: undefined, hasRunLast: false, now: 20_000,
	};
	const cases = [
		{name: 'moves an evacuated primary at once', given: evacuated, expected: true},
		{name: 'moves no primary whose zone was taken back', given: {...evacuated, isEvacuated: false}, expected: false},
		{name: 'leaves a primary where nothing else is left', given: {...evacuated, hasSuccessor: false}, expected: false},
		// Guards against fencing a primary again and again that no instance can replace.
		{name: 'waits after a failover that found no other instance', given: {...evacuated, stayedAt: 17_001}, expected: false},
		{name: 'tries again later', given: {...evacuated, stayedAt: 17_000}, expected: true},
		// Guards against one host that cannot reach the successor, and is the first to run each failover.
		{name: 'lets another host try first', given: {...evacuated, stayedAt: 16_001, hasRunLast: true}, expected: false},
		{name: 'tries again itself if no other host does', given: {...evacuated, stayedAt: 16_000, hasRunLast: true}, expected: true},
	];
	for (const {name, given, expected} of cases) {
		it(name, () => {
			expect(isMoveDue(given)).to.equal(expected);
		});
	}
});
