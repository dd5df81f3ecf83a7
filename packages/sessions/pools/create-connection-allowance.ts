import type {ConnectionRefusal} from './connection-refusal.ts';
import {findAllowedConnections} from './find-allowed-connections.ts';
import {riseIntervalMs} from './rise-interval-ms.ts';

type Options = {
	/** Maximum number of connections. */
	readonly limit: number;
	/** Whether requests wait for a connection. */
	readonly hasWaiting: () => boolean;
	/** Called after a refusal while requests wait, each time that a further connection may be allowed. */
	readonly onRise: () => void;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** How many connections a pool may hold. */
type ConnectionAllowance = {
	/** Returns the number of connections that are allowed now; lower than the limit after the instance refused one. */
	readonly find: () => number;
	readonly setLimit: (limit: number) => void;
	/** Records that the instance refused a connection because it had too many, while the pool held some. */
	readonly recordRefusal: (held: number) => void;
	/** Has requests that wait served when a further connection is allowed, as none may be given back until then. */
	readonly watch: () => void;
};

/** Creates the allowance of a pool whose instance has refused no connection. */
export function createConnectionAllowance(options: Options): ConnectionAllowance {
	let {limit} = options;
	let refusal: ConnectionRefusal | undefined;
	let riseTimer: NodeJS.Timeout | undefined;

	const find = () => findAllowedConnections(refusal, {limit, now: options.now()});

	const watch = () => {
		if (riseTimer === undefined && options.hasWaiting() && find() < limit) {
			riseTimer = setTimeout(() => {
				riseTimer = undefined;
				options.onRise();
				watch();
			}, riseIntervalMs);
		}
	};

	return {
		find,
		setLimit(newLimit) {
			limit = newLimit;
		},
		recordRefusal(held) {
			refusal = {held, at: options.now()};
			watch();
		},
		watch,
	};
}
