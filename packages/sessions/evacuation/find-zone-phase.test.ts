import {expect} from 'chai';
import {findZonePhase} from './find-zone-phase.ts';

const at = (steady: number, wall = steady) => ({steady, wall});

describe('findZonePhase', () => {
	const cases = [
		{
			name: 'gives transactions time', evacuation: {earliestAt: at(0)}, now: at(3999), expected: 'leaving',
		},
		{
			name: 'ends transactions a margin before the limit', evacuation: {earliestAt: at(0)}, now: at(4000), expected: 'ending',
		},
		{
			name: 'sends nothing that might arrive after the limit', evacuation: {earliestAt: at(0)}, now: at(4600), expected: 'closed',
		},
		{
			name: 'closes a zone that was evacuated before the host started', evacuation: {earliestAt: undefined}, now: at(0), expected: 'closed',
		},
		{
			name: 'counts by the wall clock when the steady clock stopped, as in a host that froze', evacuation: {earliestAt: at(0)}, now: at(100, 5000), expected: 'closed',
		},
		{
			name: 'closes a zone at once under a limit that is shorter than the margin', evacuation: {earliestAt: at(0)}, now: at(0), limitMs: 300, expected: 'closed',
		},
	];
	for (const {name, evacuation, now, limitMs = 5000, expected} of cases) {
		it(name, () => {
			expect(findZonePhase(evacuation, {limitMs, now})).to.equal(expected);
		});
	}
});
