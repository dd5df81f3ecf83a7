import {maxPasses} from './max-passes.ts';
import type {PriorityHead} from './priority-head.ts';

/** How many times the slack of a request a more urgent one must have to be overtaken, for each place between them. */
const slackRatio = 4;

/** Number of requests that are served in order before another one may overtake. */
const minTakesBetween = 7;

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
export function choosePriority<Head extends PriorityHead>(heads: readonly Head[], {takesSinceOvertaking}: Options): Head | undefined {
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

	const [pressed] = heads
		.filter((head, index) => head.isOnTime && heads.slice(0, index).every((other, place) => isRelaxed(other, head.slackMs * (slackRatio ** (index - place)))))
		.toSorted((a, b) => a.slackMs - b.slackMs);
	return pressed ?? leading;
}

/** Whether a priority has time to spare beyond a limit, and its next request has waited for less than half of its time. */
function isRelaxed({slackMs, backlogMs, patienceMs}: PriorityHead, limitMs: number): boolean {
	return slackMs - backlogMs > limitMs && slackMs > patienceMs / 2;
}
