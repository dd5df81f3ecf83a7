import {expect} from 'chai';
import {findRequiredPosition} from './find-required-position.ts';

const at = (steady: number) => ({steady, wall: steady});
const point = (term: number, position: number) => ({term, position: BigInt(position)});
const sample = (time: number, position: number, term = 1) => ({requestedAt: at(time), position: point(term, position)});

describe('findRequiredPosition', () => {
	const samples = [sample(0, 10), sample(500, 20), sample(1000, 30)];
	const cases = [
		{
			name: 'takes the oldest sample within the staleness limit', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 1900, expected: point(1, 20),
		},
		{
			name: 'subtracts a margin for the transfer of the request', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 1950, expected: point(1, 30),
		},
		{
			name: 'returns undefined when all samples are too old', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 2500, expected: undefined,
		},
		{
			name: 'requires the last write of the session', samples, maxStaleness: 1500, lastWrite: {epoch: 1, position: point(1, 25)}, arrivedAt: 1400, expected: point(1, 25),
		},
		{
			name: 'ignores a last write older than the oldest sample', samples, maxStaleness: 1500, lastWrite: {epoch: 1, position: point(1, 5)}, arrivedAt: 1900, expected: point(1, 20),
		},
		{
			name: 'requires the newest sample after a failover, which may have lost the last write', samples, maxStaleness: 1500, lastWrite: {epoch: 0, position: point(0, 900)}, arrivedAt: 1400, expected: point(1, 30),
		},
		{
			name: 'returns undefined after a failover while there is no sample', samples: [], maxStaleness: 1500, lastWrite: {epoch: 0, position: point(0, 900)}, arrivedAt: 1400, expected: undefined,
		},
	];
	for (const {name, expected, arrivedAt, ...read} of cases) {
		it(name, () => {
			expect(findRequiredPosition({...read, epoch: 1, arrivedAt: at(arrivedAt)})).to.deep.equal(expected);
		});
	}
});
