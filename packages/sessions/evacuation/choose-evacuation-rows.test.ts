import {expect} from 'chai';
import {encodeStoreVersion} from '../encode-store-version.ts';
import {chooseEvacuationRows} from './choose-evacuation-rows.ts';

const createRows = (keys: readonly string[], era: number) => new Map(keys.map(key => [key, {key, value: '{}', version: encodeStoreVersion({era, counter: 7})}]));

describe('chooseEvacuationRows', () => {
	const cases = [
		{
			name: 'adds an evacuation', known: createRows([], 1), newer: createRows(['evacuate/a'], 1), era: 1, expected: ['evacuate/a'],
		},
		{
			name: 'drops one that the store says is taken back', known: createRows(['evacuate/a'], 1), newer: createRows([], 1), era: 1, expected: [],
		},
		// Guards against a zone being used again because the store has lost the request.
		{
			name: 'keeps one that the store has lost', known: createRows(['evacuate/a'], 1), newer: createRows(['config'], 2), era: 2, expected: ['config', 'evacuate/a'],
		},
		{
			name: 'keeps one that an earlier return of the store has lost', known: createRows(['evacuate/a'], 1), newer: createRows([], 3), era: 3, expected: ['evacuate/a'],
		},
		{
			name: 'drops one that was written again and taken back in the new era', known: createRows(['evacuate/a'], 2), newer: createRows([], 2), era: 2, expected: [],
		},
		{
			name: 'keeps no other row', known: createRows(['other'], 1), newer: createRows([], 2), era: 2, expected: [],
		},
		{
			name: 'takes the first rows of a host that starts', known: undefined, newer: createRows(['evacuate/a'], 2), era: 2, expected: ['evacuate/a'],
		},
	];
	for (const {name, known, newer, era, expected} of cases) {
		it(name, () => {
			const rows = chooseEvacuationRows({
				known, newer, era, isEvacuation: key => key.startsWith('evacuate/'),
			});
			expect([...rows.keys()]).to.deep.equal(expected);
		});
	}
});
