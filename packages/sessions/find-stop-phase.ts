import type {StopPhase} from './stop-phase.ts';

type Stop = {
	/** Milliseconds from the stop request until the process is killed. */
	readonly gracePeriodMs: number;
	/** Milliseconds within which new callers are directed to other hosts. */
	readonly redirectMs: number;
	/** Milliseconds since the stop request. */
	readonly elapsedMs: number;
};

/** Largest part of the grace period that a host waits for new callers to be directed to others. */
const maxRedirectFraction = 0.4;

/** Parts of the grace period after which each phase begins. An open transaction is promised the first half. */
const fractions = {refusing: 1 / 2, rollingBack: 2 / 3, answering: 5 / 6} as const;

/**
 * Finds the phase of a planned stop.
 *
 * All phases count from the stop request, so that a slow process does not come late with the last one. What is left of
 * the grace period after the last one is for the answers to arrive, and for the host to leave the fleet.
 */
export function findStopPhase({gracePeriodMs, redirectMs, elapsedMs}: Stop): StopPhase {
	const elapsed = elapsedMs / gracePeriodMs;
	if (elapsed >= fractions.answering) {
		return 'answering';
	}

	if (elapsed >= fractions.rollingBack) {
		return 'rollingBack';
	}

	if (elapsed >= fractions.refusing) {
		return 'refusing';
	}

	return elapsedMs >= Math.min(redirectMs, maxRedirectFraction * gracePeriodMs) ? 'draining' : 'serving';
}
