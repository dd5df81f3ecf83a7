import {findRetryDelay} from './find-retry-delay.ts';

type Options = Omit<Parameters<typeof findRetryDelay>[0], 'reservedMs'> & {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly now: number;
};

/** Gives refused requests times to come back. */
type RetryReservations = {
	/** Returns the milliseconds after which a refused request may come back; undefined if the pace was not measured. */
	readonly add: (options: Options) => number | undefined;
};

/** Largest part by which a time to come back is extended, so that callers of several hosts do not come back together. */
const spread = 0.25;

/**
 * Creates the times to come back that a queue gives out.
 *
 * Callers come back one after another, at the pace of service and behind those of the same or a more urgent priority.
 *
 * @param jitter Returns a random number from 0 to 1.
 */
export function createRetryReservations(jitter: () => number): RetryReservations {
	/** Time until which room is given out, by priority, in milliseconds of the steady clock. */
	const reservedUntil = new Map<number, number>();

	const findReserved = (priority: number, now: number): number => {
		let latest = now;
		for (const [other, until] of reservedUntil) {
			if (until <= now) {
				reservedUntil.delete(other);
			} else if (other <= priority) {
				latest = Math.max(latest, until);
			}
		}

		return latest - now;
	};

	return {
		add({priority, now, ...options}) {
			const delay = findRetryDelay({...options, reservedMs: findReserved(priority, now)});
			if (delay === undefined) {
				return undefined;
			}

			reservedUntil.set(priority, now + delay);
			return delay * (1 + (spread * jitter()));
		},
	};
}
