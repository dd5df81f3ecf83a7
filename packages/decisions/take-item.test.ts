import {expect} from 'chai';
import {addItem} from './add-item.ts';
import {createFairQueue} from './create-fair-queue.ts';
import {takeItem} from './take-item.ts';

type Item = {readonly workspace: string; readonly cost: number};

/** Takes items until their cost reaches the budget. Returns the cost taken by workspace. */
function takeItems(items: readonly Item[], budget: number): Readonly<Record<string, number>> {
	let queue = createFairQueue<Item>();
	for (const item of items) {
		queue = addItem(queue, {workspace: item.workspace, item});
	}

	const spent: Record<string, number> = {};
	let remaining = budget;
	while (remaining > 0) {
		const taken = takeItem(queue, ({cost}) => cost);
		if (taken.item === undefined) {
			break;
		}

		({queue} = taken);
		remaining -= taken.item.cost;
		spent[taken.item.workspace] = (spent[taken.item.workspace] ?? 0) + taken.item.cost;
	}

	return spent;
}

const repeat = (count: number, item: Item): readonly Item[] => Array.from({length: count}, () => item);

describe('takeItem', () => {
	const flood = [...repeat(500, {workspace: 'flood', cost: 1}), ...repeat(50, {workspace: 'small', cost: 1})];

	it('gives a workspace with few items its half while another one floods the queue', () => {
		expect(takeItems(flood, 80)).to.deep.equal({flood: 40, small: 40});
	});

	it('starves the small workspace when all items count as one workspace, which makes the queue first in, first out', () => {
		const merged = flood.map(({cost}) => ({workspace: 'all', cost}));
		expect(takeItems(merged.slice(0, 80), 80)).to.deep.equal({all: 80});
		expect(flood.slice(0, 80).filter(({workspace}) => workspace === 'small')).to.have.length(0);
	});

	it('shares by cost, not by number of items', () => {
		const mixed = [...repeat(100, {workspace: 'expensive', cost: 4}), ...repeat(100, {workspace: 'cheap', cost: 1})];
		expect(takeItems(mixed, 80)).to.deep.equal({expensive: 40, cheap: 40});
	});

	it('serves a single workspace without interruption', () => {
		expect(takeItems(repeat(30, {workspace: 'only', cost: 3}), 60)).to.deep.equal({only: 60});
	});
});
