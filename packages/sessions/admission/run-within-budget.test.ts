import {expect} from 'chai';
import {createByteBudget} from '../create-byte-budget.ts';
import {runWithinBudget} from './run-within-budget.ts';

const limitBytes = 100_000;

describe('runWithinBudget', () => {
	const cases = [
		{
			name: 'a large statement in calm', takenBytes: 0, bytes: limitBytes, expected: 'ran',
		},
		{
			name: 'a large statement beside another one', takenBytes: 1, bytes: limitBytes, expected: undefined,
		},
		{
			name: 'a small statement beside a large one', takenBytes: limitBytes, bytes: 4 * 1024, expected: 'ran',
		},
	];
	for (const {name, takenBytes, bytes, expected} of cases) {
		it(`${expected === undefined ? 'does not run' : 'runs'} ${name}`, async () => {
			const budget = createByteBudget(limitBytes);
			budget.take(takenBytes);
			expect(await runWithinBudget(async () => 'ran', {budget, bytes})).to.equal(expected);
			expect(budget.taken()).to.equal(takenBytes);
		});
	}

	it('gives back the bytes of a statement that fails', async () => {
		const budget = createByteBudget(limitBytes);
		const fail = async () => {
			throw new Error('expected');
		};

		await runWithinBudget(fail, {budget, bytes: limitBytes}).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		expect(budget.taken()).to.equal(0);
	});
});
