import {maxPasses} from './max-passes.ts';
import type {PriorityHead} from './priority-head.ts';

/** How many times more slack the most urgent priority must have, for each place between them, to be overtaken. */
const slackRatio = 4;

/** Number of requests that are served in order before another one may overtake. */
const minTakesBetween = 3;

type Options = {
	/** Number of requests that were served since one overtook a more urgent priority. */
	readonly takesSinceOvertaking: number;
};

/**
 * Chooses the priority that is served next.
 *
 * The most urgent one goes first, with two bounded exceptions: a priority that was passed over too often is served once,
 * and a request that is about to miss its target overtakes a more urgent one that has much time left.
 *
 * @param heads Priorities with waiting requests, the most urgent first.
 */
export function choosePriority(heads: readonly PriorityHead[], {takesSinceOvertaking}: Options): PriorityHead | undefined {
	const [leading, ...others] = heads;
	if (leading === undefined) {
		return undefined;
	}

	const [starved] = others.filter(({passes}) => passes >= maxPasses).toSorted((a, b) => b.passes - a.passes);
	if (starved !== undefined) {
		return starved;
	}

	if (takesSinceOvertaking < minTakesBetween) {
		return leading;
	}

	const spareMs = leading.slackMs - leading.backlogMs;
	const [pressed] = others
		.filter(({isOnTime, slackMs}, index) => isOnTime && slackMs * (slackRatio ** (index + 1)) < spareMs)
		.toSorted((a, b) => a.slackMs - b.slackMs);
	return pressed ?? leading;
}
