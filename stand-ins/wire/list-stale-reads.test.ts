import {expect} from 'chai';
import {createSoakGroup} from './_create-soak-group.ts';
import {createSoakSession} from './_create-soak-session.ts';
import {listSoakWrites} from './list-soak-writes.ts';
import {listStaleReads} from './list-stale-reads.ts';

type Commit = Parameters<typeof createSoakGroup>[0][number];
type Messages = Parameters<typeof createSoakSession>[0]['messages'];

/** When the write of the cases is acknowledged. */
const acknowledgedAt = 10;

const write: Messages = [{text: 'WRITE a of-a', sentAt: 0, endedAt: acknowledgedAt}];

/** Creates a read that misses the write, sent this long after the acknowledgement. */
const createMiss = (afterMs: number): Messages[number] => ({text: 'READ a', rows: [''], sentAt: acknowledgedAt + afterMs});

/** Creates a transaction that begins this long after the acknowledgement and reads 5 s later. */
const createTransaction = (afterMs: number): Messages => [
	{
		text: 'BEGIN', result: 'COMPLETE -', state: 'T', sentAt: acknowledgedAt + afterMs,
	},
	{...createMiss(afterMs + 5000), state: 'T'},
];

type Case = {
	readonly name: string;
	readonly database: string;
	/** What another session than that of the write sends; nothing by default. */
	readonly messages?: Messages;
	/** What the session of the write sends after it; nothing by default. */
	readonly ownMessages?: Messages;
	/** What became of the write; it is kept by default. */
	readonly commit?: Partial<Commit>;
	readonly isStale: boolean;
};

describe('listStaleReads', () => {
	const cases: readonly Case[] = [
		{
			name: 'a read on a primary route as the write is acknowledged', database: 'latest', messages: [createMiss(0)], isStale: false,
		},
		{
			name: 'a read on a primary route after that', database: 'latest', messages: [createMiss(1)], isStale: true,
		},
		{
			name: 'a read on a primary route of another group', database: 'latest-2', messages: [createMiss(1)], isStale: true,
		},
		{
			name: 'a read on a primary route that has the write', database: 'latest', messages: [{...createMiss(1), rows: ['of-a']}], isStale: false,
		},
		{
			name: 'a read on a primary route that is refused', database: 'latest', messages: [{...createMiss(1), rows: [], result: 'ERROR LAGGING'}], isStale: false,
		},
		{
			name: 'a prepared read on a primary route', database: 'latest', messages: [{...createMiss(1), text: 'EXECUTE get a'}], isStale: true,
		},
		{
			name: 'a transaction on a primary route that began as the write was acknowledged', database: 'latest', messages: createTransaction(0), isStale: false,
		},
		{
			name: 'a transaction on a primary route that began after that', database: 'latest', messages: createTransaction(1), isStale: true,
		},
		{
			name: 'a read after the end of such a transaction', database: 'latest', isStale: true,
			messages: [...createTransaction(0), {text: 'COMMIT', sentAt: 7000}, createMiss(8000)],
		},
		{
			name: 'a read on a bounded route within its limit', database: 'old', messages: [createMiss(1500)], isStale: false,
		},
		{
			name: 'a read on a bounded route beyond its limit', database: 'old', messages: [createMiss(1501)], isStale: true,
		},
		{
			name: 'a transaction on a bounded route that began within its limit', database: 'old', messages: createTransaction(1500), isStale: false,
		},
		{
			name: 'a transaction on a bounded route that began beyond its limit', database: 'old', messages: createTransaction(1501), isStale: true,
		},
		{
			name: 'a read of another session on a route of own writes within its limit', database: 'own', messages: [createMiss(2500)], isStale: false,
		},
		{
			name: 'a read of another session on a route of own writes beyond its limit', database: 'own-3', messages: [createMiss(2501)], isStale: true,
		},
		{
			name: 'a read of the same session on a route of own writes', database: 'own', ownMessages: [createMiss(1)], isStale: true,
		},
		{
			name: 'a write that a promotion rolled back', database: 'latest', messages: [createMiss(1)], commit: {count: 0, isRolledBack: true}, isStale: false,
		},
		{
			name: 'a write that was committed behind a promotion', database: 'latest', messages: [createMiss(1)], commit: {count: 0, isBehindPromotion: true}, isStale: true,
		},
		{
			name: 'a write that is lost without a promotion', database: 'old', messages: [createMiss(1501)], commit: {count: 0}, isStale: true,
		},
	];
	for (const {name, database, messages = [], ownMessages = [], commit, isStale} of cases) {
		it(`judges ${name}`, () => {
			const sessions = [
				createSoakSession({database, messages: [...write, ...ownMessages]}),
				createSoakSession({database, messages}),
			];
			const writes = sessions.flatMap(session => listSoakWrites(session));
			const groups = [createSoakGroup([{item: 'a', count: 1, ...commit}])];
			expect(listStaleReads({sessions, groups}, writes).map(({rule}) => rule)).to.deep.equal(isStale ? ['STALE'] : []);
		});
	}

	it('judges a write that nobody acknowledged', () => {
		const sessions = [createSoakSession({messages: [{text: 'WRITE a of-a', result: 'ERROR UNKNOWN'}, createMiss(1000)]})];
		const writes = sessions.flatMap(session => listSoakWrites(session));
		expect(listStaleReads({sessions, groups: [createSoakGroup([{item: 'a', count: 1}])]}, writes)).to.deep.equal([]);
	});
});
