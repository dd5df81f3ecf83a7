import {expect} from 'chai';
import {findRequiredPosition} from './find-required-position.ts';

const at = (steady: number) => ({steady, wall: steady});
const point = (term: number, position: number) => ({term, position: BigInt(position)});
const sample = (time: number, position: number, term = 1) => ({requestedAt: at(time), position: point(term, position)});

describe('findRequiredPosition', () => {
	const samples = [sample(0, 10), sample(500, 20), sample(1000, 30)];
	const cases = [
		{
			name: 'takes the oldest sample that is young enough', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 1900, expected: point(1, 20),
		},
		{
			name: 'leaves a margin for the way of the first byte', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 1950, expected: point(1, 30),
		},
		{
			name: 'finds nothing when all samples are too old', samples, maxStaleness: 1500, lastWrite: undefined, arrivedAt: 2500, expected: undefined,
		},
		{
			name: 'holds a write of the session', samples, maxStaleness: 1500, lastWrite: {epoch: 1, position: point(1, 25)}, arrivedAt: 1400, expected: point(1, 25),
		},
		{
			name: 'does not go below the age for an old write of the session', samples, maxStaleness: 1500, lastWrite: {epoch: 1, position: point(1, 5)}, arrivedAt: 1900, expected: point(1, 20),
		},
		{
			name: 'replaces a write of an earlier primary by the newest sample, since it may be gone', samples, maxStaleness: 1500, lastWrite: {epoch: 0, position: point(0, 900)}, arrivedAt: 1400, expected: point(1, 30),
		},
		{
			name: 'asks the primary when no sample follows a write of an earlier primary', samples: [], maxStaleness: 1500, lastWrite: {epoch: 0, position: point(0, 900)}, arrivedAt: 1400, expected: undefined,
		},
	];
	for (const {name, expected, arrivedAt, ...read} of cases) {
		it(name, () => {
			expect(findRequiredPosition({...read, epoch: 1, arrivedAt: at(arrivedAt)})).to.deep.equal(expected);
		});
	}
});
