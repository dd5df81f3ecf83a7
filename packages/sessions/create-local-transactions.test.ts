import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {abandonedMarginMs} from './abandoned-margin-ms.ts';
import {createLocalTransactions} from './create-local-transactions.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

const pooled: PooledConnection = {
	connection: {send: async () => ({kind: 'lost', reason: ''}), isClosed: () => false, close: () => undefined},
	workspace: 'upper',
	variables: new Map(),
	prepared: new Map(),
	isBusy: true,
	idleSince: 0,
};

/** Milliseconds by which a timer may be late on a busy machine. */
const latenessMs = 300;

describe('createLocalTransactions', () => {
	it('gives each transaction a number of its own', () => {
		const transactions = createLocalTransactions(() => undefined);
		const numbers = [transactions.add(pooled, 1000), transactions.add(pooled, 1000)];
		expect(new Set(numbers).size).to.equal(2);
		expect(numbers.map(number => transactions.take(number))).to.deep.equal([pooled, pooled]);
	});

	it('does not take a transaction twice', () => {
		const transactions = createLocalTransactions(() => undefined);
		const number = transactions.add(pooled, 1000);
		expect(transactions.isOpen(number)).to.equal(true);
		expect(transactions.take(number)).to.equal(pooled);
		expect(transactions.take(number)).to.equal(undefined);
		expect(transactions.use(number)).to.equal(undefined);
		expect(transactions.isOpen(number)).to.equal(false);
	});

	const cases: ReadonlyArray<{readonly name: string; readonly act: (transactions: ReturnType<typeof createLocalTransactions>, number: number) => void; readonly isReported: boolean}> = [
		{name: 'is not used', act: () => undefined, isReported: true},
		{
			name: 'is being used',
			act(transactions, number) {
				transactions.use(number);
			},
			isReported: false,
		},
		{
			name: 'was used and released',
			act(transactions, number) {
				transactions.use(number);
				transactions.release(number);
			},
			isReported: true,
		},
		{
			name: 'has ended',
			act(transactions, number) {
				transactions.take(number);
			},
			isReported: false,
		},
		{
			name: 'has ended before it is released',
			act(transactions, number) {
				transactions.take(number);
				transactions.release(number);
			},
			isReported: false,
		},
	];
	for (const {name, act, isReported} of cases) {
		it(`${isReported ? 'reports' : 'does not report'} a transaction as idle that ${name}`, async () => {
			const idle: number[] = [];
			const transactions = createLocalTransactions(transaction => {
				idle.push(transaction);
			});
			const number = transactions.add(pooled, 0);
			act(transactions, number);
			await sleep(abandonedMarginMs + latenessMs);
			expect(idle).to.deep.equal(isReported ? [number] : []);
		});
	}
});
