import {expect} from 'chai';
import fc from 'fast-check';
import {createTableUpdate} from './create-table-update.ts';
import {findTableMark} from './find-table-mark.ts';
import type {CachedTable} from './cached-table.ts';
import {mergeTableUpdate} from './merge-table-update.ts';
import type {StoreRow} from './store-row.ts';

const moment = {steady: 1000, wall: 1000};

/** A change of a table: a key that is written, or dropped. */
type Change = {readonly key: string; readonly isDropped: boolean};

/** Applies changes one after the other, each as a new version of the store. */
function createTable(changes: readonly Change[]): CachedTable {
	const rows = new Map<string, StoreRow>();
	for (const [index, {key, isDropped}] of changes.entries()) {
		rows.delete(key);
		if (!isDropped) {
			rows.set(key, {key, value: `v${index}`, version: index + 1});
		}
	}

	return {
		rows, mark: findTableMark(rows), version: changes.length, confirmedAt: moment, reader: 'a1',
	};
}

const change = fc.record({key: fc.constantFrom('a', 'b', 'c', 'd'), isDropped: fc.boolean()});

describe('mergeTableUpdate', () => {
	it('makes up the other host\'s state from what is newer, or tells that rows were dropped', () => {
		fc.assert(fc.property(fc.array(change, {maxLength: 12}), fc.array(change, {maxLength: 6}), (before, later) => {
			const older = createTable(before);
			const newer = createTable([...before, ...later]);
			const told = createTableUpdate('fleet', {known: newer, asked: {mark: older.mark, age: 0}, now: moment});
			const merged = mergeTableUpdate(told, {older, answeredAfter: moment});
			const isDropped = [...older.rows.keys()].some(key => !newer.rows.has(key));
			expect(merged === undefined).to.equal(isDropped);
			if (merged !== undefined) {
				expect(new Map(merged.rows)).to.deep.equal(newer.rows);
			}
		}));
	});

	it('takes all rows when they are asked for', () => {
		const newer = createTable([{key: 'a', isDropped: false}, {key: 'b', isDropped: false}, {key: 'a', isDropped: true}]);
		const told = createTableUpdate('fleet', {known: newer, asked: undefined, now: moment});
		expect(mergeTableUpdate(told, {older: createTable([{key: 'a', isDropped: false}]), answeredAfter: moment})?.rows).to.deep.equal(newer.rows);
	});

	it('keeps the rows that are known when nothing is newer', () => {
		const known = createTable([{key: 'a', isDropped: false}]);
		const told = createTableUpdate('fleet', {known, asked: {mark: known.mark, age: 900}, now: moment});
		expect(told.rows).to.deep.equal([]);
		expect(mergeTableUpdate(told, {older: known, answeredAfter: moment})?.rows).to.equal(known.rows);
	});
});
