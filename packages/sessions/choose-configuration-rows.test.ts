import {expect} from 'chai';
import {chooseConfigurationRows} from './choose-configuration-rows.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {StoreRow} from './store-row.ts';

const findConfigurationVersion = ({value}: StoreRow) => value === 'broken' ? undefined : Number(value);
const createRows = (value: string | undefined, era: number, counter: number) => new Map<string, StoreRow>(value === undefined
	? []
	: [['config', {key: 'config', value, version: encodeStoreVersion({era, counter})}]]);

describe('chooseConfigurationRows', () => {
	const lost = createRows('11', 1, 33);
	const cases = [
		{
			name: 'takes a later row of the same era', known: lost, newer: createRows('14', 1, 40), expected: '14',
		},
		{
			name: 'takes the first row', known: undefined, newer: createRows('4', 2, 20), expected: '4',
		},
		// Guards against a withdrawn key or a dropped route coming back until the operators have written again.
		{
			name: 'keeps the row that the store has lost', known: lost, newer: createRows('4', 2, 20), expected: '11',
		},
		{
			name: 'keeps the row that the store has lost, when the store has none', known: lost, newer: createRows(undefined, 2, 20), expected: '11',
		},
		{
			name: 'takes the row that the operators wrote again', known: lost, newer: createRows('11', 2, 34), expected: '11',
		},
		{
			name: 'takes a later row of the new era', known: lost, newer: createRows('14', 2, 33), expected: '14',
		},
		{
			name: 'takes a row that cannot be decoded, which then confirms nothing', known: lost, newer: createRows('broken', 2, 34), expected: 'broken',
		},
	];
	for (const {name, known, newer, expected} of cases) {
		it(name, () => {
			expect(chooseConfigurationRows({known, newer, findConfigurationVersion}).get('config')?.value).to.equal(expected);
		});
	}
});
