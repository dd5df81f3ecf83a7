import {expect} from 'chai';
import type {InstanceRuntime} from '../instance-runtime.ts';
import {createEvacuations} from './create-evacuations.ts';

const createInstance = (id: string, zone: string) => ({listed: () => ({id, zone})}) as unknown as InstanceRuntime;

describe('createEvacuations', () => {
	it('names the instances of a zone that is taken back, once, and counts the others', () => {
		const returned: string[] = [];
		const counts: number[] = [];
		const lines: string[] = [];
		const time = {steady: 100, wall: 100};
		const evacuations = createEvacuations({
			limitMs: 5000,
			listInstances: () => [createInstance('i-1', 'a'), createInstance('i-2', 'b'), createInstance('i-3', 'a')],
			onReturned(instance) {
				returned.push(instance.listed().id);
			},
			onCount(count) {
				counts.push(count);
			},
			now: () => time,
			log: {
				info(_fields, line) {
					lines.push(line);
				},
			},
		});
		evacuations.update([], time);
		evacuations.update(['a', 'b'], time);
		evacuations.update(['a', 'b'], time);
		expect(['a', 'b', 'c'].map(zone => evacuations.findPhase(zone))).to.deep.equal(['leaving', 'leaving', 'open']);
		evacuations.update(['b'], time);
		evacuations.update(['b'], time);
		expect(returned).to.deep.equal(['i-1', 'i-3']);
		expect(counts).to.deep.equal([2, 1]);
		expect(lines).to.have.length(2);
		expect(evacuations.isEvacuated('a')).to.equal(false);
	});
});
