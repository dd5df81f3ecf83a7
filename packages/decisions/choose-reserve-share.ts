import type {HostState} from './host-state.ts';

/**
 * Chooses the share of the reserves that a host may use.
 *
 * A host that is cut off goes on with its share for a span after its last proof of the roster. So a host uses
 * no share before it has been listed for that long, and shares as if no host had left within it.
 *
 * @param history Lists of the roster's hosts and when each became known here, oldest first.
 * @param options This host, the span in milliseconds, and monotonic milliseconds.
 * @returns The share, from 0 to 1.
 */
export function chooseReserveShare(
	history: HostState['rosterHistory'],
	options: {readonly self: string; readonly span: number; readonly now: number},
): number {
	const before = options.now - options.span;
	const inForce = history.filter((_, index) => (history[index + 1]?.at ?? Infinity) > before);
	const [oldest] = inForce;
	const isListed = inForce.every(({hosts}) => hosts.includes(options.self));
	if (oldest === undefined || oldest.at > before || !isListed) {
		return 0;
	}

	return 1 / new Set(inForce.flatMap(({hosts}) => hosts)).size;
}
