import {expect} from 'chai';
import {findRequiredPosition} from './find-required-position.ts';

const at = (steady: number) => ({steady, wall: steady});
const point = (term: number, position: number) => ({term, position: BigInt(position)});
const sample = (time: number, position: number, term = 1) => ({requestedAt: at(time), position: point(term, position), epoch: term});

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
		{
			name: 'goes on with samples of the old primary while it is replaced, as after the silent cut of a zone', samples, maxStaleness: 2500, lastWrite: {epoch: 1, position: point(1, 25)}, arrivedAt: 3000, expected: point(1, 30),
		},
		{
			name: 'prefers samples of the new primary', samples: [...samples, sample(1200, 31, 2)], maxStaleness: 2500, lastWrite: undefined, arrivedAt: 1900, expected: point(2, 31),
		},
		{
			name: 'requires a write at the new primary that is newer than all samples', samples, maxStaleness: 2500, lastWrite: {epoch: 2, position: point(2, 31)}, arrivedAt: 1900, expected: point(2, 31),
		},
	];
	for (const {name, expected, arrivedAt, ...read} of cases) {
		it(name, () => {
			expect(findRequiredPosition({...read, arrivedAt: at(arrivedAt)})).to.deep.equal(expected);
		});
	}
});
