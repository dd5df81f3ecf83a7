import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

type Grant = {
	/** Operations a second. */
	readonly rate: number;
	/** Operations that may run at once. */
	readonly units: number;
	/** Milliseconds for which it holds from when it was asked for. */
	readonly span: number;
	readonly askedAt: Instant;
	/** Steady milliseconds. */
	readonly now: number;
};

const millisecondsPerSecond = 1000;

/**
 * Applies a grant of the home to a share.
 *
 * The first grant of a process also counts for the time since the process began, in which the host let nothing run:
 * so callers who waited for a restart find some operations at once.
 */
export function applyGrant(share: ShareState, {
	rate, units, span, askedAt, now,
}: Grant): ShareState {
	const isFirst = share.spanMs === 0;
	const missed = isFirst ? rate * Math.max(0, now - share.refilledAt) / millisecondsPerSecond : 0;
	return {
		...share, rate, spanMs: span, requestedAt: askedAt, tokens: share.tokens + missed + units, refilledAt: isFirst ? now : share.refilledAt,
	};
}
