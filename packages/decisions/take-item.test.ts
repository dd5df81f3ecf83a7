import {expect} from 'chai';
import {addItem} from './add-item.ts';
import {createFairQueue} from './create-fair-queue.ts';
import {takeItem} from './take-item.ts';

type Item = {readonly workspace: string; readonly cost: number};

/** Takes items until so much cost is spent; returns the cost by workspace. */
function spend(items: readonly Item[], budget: number): Readonly<Record<string, number>> {
	let queue = createFairQueue<Item>();
	for (const item of items) {
		queue = addItem(queue, {workspace: item.workspace, item});
	}

	const spent: Record<string, number> = {};
	let left = budget;
	while (left > 0) {
		const taken = takeItem(queue, ({cost}) => cost);
		if (taken.item === undefined) {
			break;
		}

		({queue} = taken);
		left -= taken.item.cost;
		spent[taken.item.workspace] = (spent[taken.item.workspace] ?? 0) + taken.item.cost;
	}

	return spent;
}

const repeat = (count: number, item: Item): readonly Item[] => Array.from({length: count}, () => item);

describe('takeItem', () => {
	const flood = [...repeat(500, {workspace: 'flood', cost: 1}), ...repeat(50, {workspace: 'small', cost: 1})];

	it('gives a small workspace its half while another floods', () => {
		expect(spend(flood, 80)).to.deep.equal({flood: 40, small: 40});
	});

	it('starves the small one when the queue knows one workspace only, as first in first out does', () => {
		const merged = flood.map(({cost}) => ({workspace: 'all', cost}));
		expect(spend(merged.slice(0, 80), 80)).to.deep.equal({all: 80});
		expect(flood.slice(0, 80).filter(({workspace}) => workspace === 'small')).to.have.length(0);
	});

	it('shares by cost, not by number of items', () => {
		const mixed = [...repeat(100, {workspace: 'dear', cost: 4}), ...repeat(100, {workspace: 'cheap', cost: 1})];
		expect(spend(mixed, 80)).to.deep.equal({dear: 40, cheap: 40});
	});

	it('serves one workspace alone without pause', () => {
		expect(spend(repeat(30, {workspace: 'only', cost: 3}), 60)).to.deep.equal({only: 60});
	});
});
