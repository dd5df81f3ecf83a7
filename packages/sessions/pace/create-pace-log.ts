import type {SessionLog} from '../session-log.ts';
import type {PaceState} from './pace-state.ts';

type Options = {
	readonly group: string;
	/** Id of the instance. */
	readonly instance: string;
	readonly log: Pick<SessionLog, 'info'>;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Milliseconds between two lines about an instance, since the limit may fall many times a second. */
const lineIntervalMs = 1000;

/** Creates the function that logs the changes of an instance's pace: its limit halves, or a slow start begins or ends. */
export function createPaceLog({group, instance, log, now}: Options): (change: {readonly previous: PaceState; readonly state: PaceState}) => void {
	let writtenAt = Number.NEGATIVE_INFINITY;
	/** Highest limit since the last line, so that a fall in several steps is logged as well. */
	let highestLimit = 1;

	return ({previous, state}) => {
		const {limit, phase, calmLatency, recentLatency, failures} = state;
		highestLimit = Math.max(highestLimit, limit);
		const hasHalved = limit <= highestLimit / 2;
		if ((phase === previous.phase && !hasHalved) || now() - writtenAt < lineIntervalMs) {
			return;
		}

		writtenAt = now();
		highestLimit = limit;
		log.info({
			group, instance, previous: previous.limit, limit, phase, calmLatency, recentLatency, failures,
		}, 'pace: The limit of statements in progress at the instance changed.');
	};
}
