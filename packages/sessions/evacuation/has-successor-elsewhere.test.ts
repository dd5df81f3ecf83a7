import {expect} from 'chai';
import type {InstanceRuntime} from '../instance-runtime.ts';
import {hasSuccessorElsewhere} from './has-successor-elsewhere.ts';

type Given = {readonly zone: string; readonly isDeparting?: boolean; readonly unansweredSince?: number};

const createInstance = ({zone, isDeparting = false, unansweredSince}: Given) => ({
	listed: () => ({id: `i-${zone}`, zone, isDeparting}),
	health: () => ({unansweredSince}),
}) as unknown as InstanceRuntime;

describe('hasSuccessorElsewhere', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly given: readonly Given[]; readonly evacuated: readonly string[]; readonly expected: boolean}> = [
		{
			name: 'finds one in another zone', given: [{zone: 'a'}, {zone: 'b'}], evacuated: ['a'], expected: true,
		},
		{
			name: 'does not move the primary back and forth between evacuated zones', given: [{zone: 'a'}, {zone: 'b'}], evacuated: ['a', 'b'], expected: false,
		},
		{
			name: 'takes the one that is left of several zones', given: [{zone: 'a'}, {zone: 'b'}, {zone: 'c'}], evacuated: ['a', 'b'], expected: true,
		},
		{
			name: 'takes no departing instance', given: [{zone: 'a'}, {zone: 'b', isDeparting: true}], evacuated: ['a'], expected: false,
		},
		{
			name: 'takes no instance that the platform does not list any more', given: [{zone: 'a'}, {zone: 'gone'}], evacuated: ['a'], expected: false,
		},
		{
			// Guards against a busy group whose primary stays because a request is on its way to each other instance.
			name: 'takes an instance that has not answered its last request yet', given: [{zone: 'a'}, {zone: 'b', unansweredSince: 5}], evacuated: ['a'], expected: true,
		},
	];
	for (const {name, given, evacuated, expected} of cases) {
		it(name, () => {
			const found = hasSuccessorElsewhere(given.map(instance => createInstance(instance)), {
				primary: 'i-a', isEvacuated: zone => evacuated.includes(zone), isListed: id => id !== 'i-gone',
			});
			expect(found).to.equal(expected);
		});
	}
});
