import type {HostState} from './host-state.ts';

/**
 * Chooses the share of each workspace's reserve (the part of its rate and burst that is split evenly over the hosts)
 * that a host may use.
 *
 * A partitioned host keeps using its share for `spanMs` milliseconds after it last confirmed the roster. So a host
 * gets no share until it has been listed for that long, and hosts that left within that time still count.
 *
 * @param history Lists of the roster's hosts, and when this host learned of each, oldest first.
 * @param options This host, the time in milliseconds for which a partitioned host uses its share, and monotonic
 * milliseconds.
 * @returns The share, from 0 to 1.
 */
export function chooseReserveShare(
	history: HostState['rosterHistory'],
	options: {readonly self: string; readonly spanMs: number; readonly now: number},
): number {
	const cutoff = options.now - options.spanMs;
	const inForce = history.filter((_, index) => (history[index + 1]?.at ?? Infinity) > cutoff);
	const [oldest] = inForce;
	const isListed = inForce.every(({hosts}) => hosts.includes(options.self));
	if (oldest === undefined || oldest.at > cutoff || !isListed) {
		return 0;
	}

	return 1 / new Set(inForce.flatMap(({hosts}) => hosts)).size;
}
