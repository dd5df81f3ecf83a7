import {expect} from 'chai';
import {encodeStoreVersion} from './encode-store-version.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';

describe('findNextEpoch', () => {
	const cases = [
		{
			name: 'starts at 1', previous: 0, era: 1, expected: 1,
		},
		{
			name: 'counts on within an era', previous: 41, era: 1, expected: 42,
		},
		{
			name: 'counts on within a later era', previous: 2_000_007, era: 3, expected: 2_000_008,
		},
		// Guards against an epoch or fencing token being given out twice, as the store names an older one after its return.
		{
			name: 'starts above all that the lost era can have given out', previous: 3, era: 2, expected: 1_000_001,
		},
		{
			name: 'starts above the lost ones after several returns of the store', previous: 1_000_004, era: 4, expected: 3_000_001,
		},
	];
	for (const {name, previous, era, expected} of cases) {
		it(name, () => {
			expect(findNextEpoch(previous, era)).to.equal(expected);
		});
	}

	it('tells epochs of the present era from those of earlier ones', () => {
		for (const era of [1, 2, 7]) {
			const version = encodeStoreVersion({era, counter: 9});
			const epoch = findNextEpoch(3, era);
			expect(isFromEarlierEra({epoch, version})).to.equal(false);
			expect(isFromEarlierEra({epoch, version: encodeStoreVersion({era: era + 1, counter: 5})})).to.equal(true);
		}
	});
});
