import {createServiceTimer, type ServicePace} from '../waiting/mod.ts';
import type {TransactionPermit} from './transaction-permit.ts';

type Options = {
	/** Returns how many transactions may be open. */
	readonly findLimit: () => number;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** The permits of the transactions that are open or about to begin. */
type TransactionPermits = {
	readonly take: (priority: number) => TransactionPermit;
	readonly hasFree: () => boolean;
	readonly count: () => number;
	/** Returns for how long transactions hold their permits. */
	readonly findPace: () => ServicePace;
};

/** Creates the permits of transactions, none of which is taken. */
export function createTransactionPermits({findLimit, now}: Options): TransactionPermits {
	const timer = createServiceTimer(now);
	const taken = new Set<TransactionPermit>();

	return {
		take(priority) {
			const permit: TransactionPermit = {
				end() {
					taken.delete(permit);
					timer.end(permit);
				},
			};
			taken.add(permit);
			timer.begin(permit, priority);
			return permit;
		},
		hasFree: () => taken.size < findLimit(),
		count: () => taken.size,
		findPace: () => ({...timer.findPace(), limit: findLimit()}),
	};
}
