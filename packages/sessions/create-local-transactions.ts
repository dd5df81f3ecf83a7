import {abandonedMarginMs} from './abandoned-margin-ms.ts';
import type {LocalTransactions} from './local-transactions.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

type OpenTransaction = {
	readonly pooled: PooledConnection;
	/** Milliseconds for which the transaction may be idle. */
	readonly idleLimit: number;
	/** Undefined while the transaction is being used. */
	idleTimer?: NodeJS.Timeout | undefined;
};

/**
 * Upper bound of the random first transaction number. Numbers differ between processes, so that a restarted process does
 * not take a transaction of its predecessor for one of its own.
 */
const firstNumberLimit = 2 ** 40;

/**
 * Creates the bookkeeping of the transactions that are open on this host's own connections to an instance.
 *
 * @param onIdle Called with the number of a transaction that was idle for longer than its limit and the margin.
 */
export function createLocalTransactions(onIdle: (transaction: number) => void): LocalTransactions {
	const transactions = new Map<number, OpenTransaction>();
	let lastNumber = Math.floor(Math.random() * firstNumberLimit);

	const startIdleTimer = (transaction: number) => {
		const open = transactions.get(transaction);
		if (open !== undefined) {
			open.idleTimer = setTimeout(onIdle, open.idleLimit + abandonedMarginMs, transaction);
		}
	};

	const stopIdleTimer = (transaction: number) => {
		const open = transactions.get(transaction);
		if (open === undefined) {
			return undefined;
		}

		clearTimeout(open.idleTimer);
		open.idleTimer = undefined;
		return open.pooled;
	};

	return {
		add(pooled, idleLimit) {
			lastNumber++;
			transactions.set(lastNumber, {pooled, idleLimit});
			startIdleTimer(lastNumber);
			return lastNumber;
		},
		use: stopIdleTimer,
		release: startIdleTimer,
		take(transaction) {
			const pooled = stopIdleTimer(transaction);
			transactions.delete(transaction);
			return pooled;
		},
		listIdle: () => [...transactions].filter(([, {idleTimer}]) => idleTimer !== undefined).map(([transaction]) => transaction),
		listLost: () => [...transactions]
			.filter(([, {pooled, idleTimer}]) => idleTimer !== undefined && pooled.connection.isClosed())
			.map(([transaction]) => transaction),
		isOpen: transaction => transactions.has(transaction),
	};
}
