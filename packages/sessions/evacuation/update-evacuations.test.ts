import {expect} from 'chai';
import type {Evacuation} from './evacuation.ts';
import {updateEvacuations} from './update-evacuations.ts';

const at = (milliseconds: number) => ({steady: milliseconds, wall: milliseconds});

describe('updateEvacuations', () => {
	const known = new Map<string, Evacuation>([['a', {earliestAt: at(5)}]]);
	const cases = [
		{
			name: 'counts a new evacuation from the confirmation before', zones: ['a', 'b'], confirmedBefore: at(80), expected: [['a', {earliestAt: at(5)}], ['b', {earliestAt: at(80)}]],
		},
		{
			name: 'knows no earliest moment in the first rows of a host that started', zones: ['b'], confirmedBefore: undefined, expected: [['b', {earliestAt: undefined}]],
		},
		{
			name: 'drops an evacuation that was taken back', zones: [], confirmedBefore: at(80), expected: [],
		},
	];
	for (const {name, zones, confirmedBefore, expected} of cases) {
		it(name, () => {
			expect([...updateEvacuations(known, {zones, confirmedBefore})]).to.deep.equal(expected);
		});
	}
});
