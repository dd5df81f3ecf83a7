import {expect} from 'chai';
import {createConnectionMemory} from './create-connection-memory.ts';

describe('createConnectionMemory', () => {
	it('evicts the connections that have held memory for longest, until the others are within the limit', () => {
		const memory = createConnectionMemory(100_000);
		const evicted: string[] = [];
		const createHolder = (name: string) => ({
			evict() {
				evicted.push(name);
				memory.update(holders[name as keyof typeof holders], 0);
			},
		});
		const holders = {a: createHolder('a'), b: createHolder('b'), c: createHolder('c')};
		memory.update(holders.a, 40_000);
		memory.update(holders.b, 40_000);
		memory.update(holders.a, 50_000);
		memory.update(holders.c, 90_000);
		expect(evicted).to.deep.equal(['a', 'b']);
		expect(memory.heldBytes()).to.equal(90_000);
		memory.update(holders.c, 0);
		memory.update(holders.c, 0);
		expect(memory.heldBytes()).to.equal(0);
	});

	it('does not count a connection that holds little', () => {
		const memory = createConnectionMemory(10);
		const holder = {
			evict() {
				throw new Error('not expected');
			},
		};
		memory.update(holder, 16 * 1024);
		expect(memory.heldBytes()).to.equal(0);
	});
});
