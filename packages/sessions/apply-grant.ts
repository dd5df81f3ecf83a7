import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

type Grant = {
	/** Operations per second. */
	readonly rate: number;
	/** Operations that may run immediately, in addition to the rate. */
	readonly units: number;
	/** Lifetime in milliseconds, counted from `requestedAt`. */
	readonly spanMs: number;
	readonly requestedAt: Instant;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

const millisecondsPerSecond = 1000;

/**
 * Applies a grant from the rate allocator to a host's share.
 *
 * The first grant after a process start also covers the time since the start, during which the host admitted no
 * operation. Callers that waited for the restart can therefore run some operations immediately.
 */
export function applyGrant(share: ShareState, {
	rate, units, spanMs, requestedAt, now,
}: Grant): ShareState {
	const isFirst = share.spanMs === 0;
	const startupTokens = isFirst ? rate * Math.max(0, now - share.refilledAt) / millisecondsPerSecond : 0;
	return {
		...share, rate, spanMs, requestedAt, tokens: share.tokens + startupTokens + units, refilledAt: isFirst ? now : share.refilledAt,
	};
}
