import {expect} from 'chai';
import fc from 'fast-check';
import {createTableUpdate} from './create-table-update.ts';
import {findTableMark} from './find-table-mark.ts';
import type {CachedTable} from './cached-table.ts';
import {mergeTableUpdate} from './merge-table-update.ts';
import type {StoreRow} from './store-row.ts';

const now = {steady: 1000, wall: 1000};

/** A change of one row: its key is written or deleted. */
type Change = {readonly key: string; readonly isDeleted: boolean};

/** Applies changes in order, each as a new version of the store. */
function createTable(changes: readonly Change[]): CachedTable {
	const rows = new Map<string, StoreRow>();
	for (const [index, {key, isDeleted}] of changes.entries()) {
		rows.delete(key);
		if (!isDeleted) {
			rows.set(key, {key, value: `v${index}`, version: index + 1});
		}
	}

	return {
		rows, mark: findTableMark(rows), version: changes.length, confirmedAt: now, reader: 'a1',
	};
}

const change = fc.record({key: fc.constantFrom('a', 'b', 'c', 'd'), isDeleted: fc.boolean()});

describe('mergeTableUpdate', () => {
	it('reproduces the other host\'s rows from the newer ones, or detects that rows were deleted', () => {
		fc.assert(fc.property(fc.array(change, {maxLength: 12}), fc.array(change, {maxLength: 6}), (before, later) => {
			const older = createTable(before);
			const newer = createTable([...before, ...later]);
			const update = createTableUpdate('fleet', {cached: newer, requested: {mark: older.mark, age: 0}, now});
			const merged = mergeTableUpdate(update, {cached: older, earliestAnswerAt: now});
			const isDeleted = [...older.rows.keys()].some(key => !newer.rows.has(key));
			expect(merged === undefined).to.equal(isDeleted);
			if (merged !== undefined) {
				expect(new Map(merged.rows)).to.deep.equal(newer.rows);
			}
		}));
	});

	it('replaces the cached rows by a complete update', () => {
		const newer = createTable([{key: 'a', isDeleted: false}, {key: 'b', isDeleted: false}, {key: 'a', isDeleted: true}]);
		const update = createTableUpdate('fleet', {cached: newer, requested: undefined, now});
		expect(mergeTableUpdate(update, {cached: createTable([{key: 'a', isDeleted: false}]), earliestAnswerAt: now})?.rows).to.deep.equal(newer.rows);
	});

	it('keeps the cached rows when the update is empty', () => {
		const cached = createTable([{key: 'a', isDeleted: false}]);
		const update = createTableUpdate('fleet', {cached, requested: {mark: cached.mark, age: 900}, now});
		expect(update.rows).to.deep.equal([]);
		expect(mergeTableUpdate(update, {cached, earliestAnswerAt: now})?.rows).to.equal(cached.rows);
	});
});
