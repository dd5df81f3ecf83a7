import {expect} from 'chai';
import {runPaceModel} from './_run-pace-model.ts';

/** Milliseconds of work of single statements, which differ. */
const workMs = [2, 11, 5, 21, 8, 1, 14, 6, 10, 3];

const findWorkMs = (number: number) => workMs[number % workMs.length]!;

/** Share of the slots' time that may go by unused from the slow start on. */
const idleTolerance = 0.03;

describe('gateways beside each other', () => {
	const cases = [
		{
			name: 'two gateways with more demand than slots', slots: 4, demands: [22, 22], work: findWorkMs, bound: 10,
		},
		{
			name: 'three gateways with more demand than slots', slots: 6, demands: [22, 22, 22], work: findWorkMs, bound: 21,
		},
		{
			name: 'one gateway that has all the demand', slots: 4, demands: [22, 0, 0], work: findWorkMs, bound: 5,
		},
		{
			name: 'an instance that becomes six times slower', slots: 4, demands: [22, 22, 22], work: (number: number, now: number) => findWorkMs(number) * (now < 1000 ? 1 : 6), bound: 15,
		},
		{
			name: 'an instance that hangs in a tenth of its answers', slots: 4, demands: [22, 22, 22], work: (number: number) => number % 10 === 9 ? 300 : findWorkMs(number), bound: 15,
		},
	];
	for (const {
		name, slots, demands, work, bound,
	} of cases) {
		it(`keep the slots busy, and few statements waiting there: ${name}`, () => {
			const {highest, idleShare} = runPaceModel({
				slots, demands, findWorkMs: work, durationMs: 5000,
			});
			expect(highest).to.be.at.most(bound);
			expect(idleShare).to.be.below(idleTolerance);
		});
	}

	it('have a place for each statement in a calm', () => {
		const {limits} = runPaceModel({
			slots: 4, demands: [1, 1, 1], findWorkMs, durationMs: 1000,
		});
		expect(limits).to.deep.equal([5, 5, 5]);
	});
});
