import type {GroupView} from '@sapphirefall/decisions';
import type {GroupRuntime} from './group-runtime.ts';

type Options = {
	readonly readView: () => GroupView;
	/** Sends a probe to every instance. */
	readonly probe: () => void;
	/** Finds when a probe was last sent, in monotonic milliseconds. */
	readonly findProbedAt: () => number;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** The requests that wait for a change of a group's view. */
type ViewWaits = {
	/** See `GroupRuntime`. */
	readonly waitFor: GroupRuntime['waitFor'];
	/** Ends the waits that the present view satisfies. */
	readonly update: () => void;
	/** Stops probing; waits that are open end at their deadlines. */
	readonly close: () => void;
};

type Waiter = {
	readonly isUrgent: boolean;
	/** Ends the wait if the view satisfies it. */
	readonly check: (view: GroupView) => void;
};

/** Least milliseconds between two probes while an urgent wait is open. */
const urgentProbeIntervalMs = 2;

/** Milliseconds after which a probe is repeated while an urgent wait is open. */
const urgentProbeRepeatMs = 25;

/** Creates the waits for changes of a group's view; probes often while an urgent one is open. */
export function createViewWaits({
	readView, probe, findProbedAt, now,
}: Options): ViewWaits {
	const waiters = new Set<Waiter>();
	let urgentTimer: NodeJS.Timeout | undefined;

	const probeUrgently = () => {
		const hasUrgent = [...waiters].some(({isUrgent}) => isUrgent);
		if (!hasUrgent) {
			clearTimeout(urgentTimer);
			urgentTimer = undefined;
			return;
		}

		const elapsed = now() - findProbedAt();
		if (elapsed >= urgentProbeIntervalMs) {
			probe();
		}

		clearTimeout(urgentTimer);
		urgentTimer = setTimeout(probeUrgently, elapsed >= urgentProbeIntervalMs ? urgentProbeRepeatMs : urgentProbeIntervalMs);
	};

	return {
		async waitFor(find, {deadline, isUrgent}) {
			const found = find(readView());
			if (found !== undefined) {
				return found;
			}

			return new Promise(resolve => {
				const timer = setTimeout(() => {
					waiters.delete(waiter);
					resolve(undefined);
				}, Math.max(0, deadline - now()));
				const waiter: Waiter = {
					isUrgent,
					check(next) {
						const found = find(next);
						if (found !== undefined) {
							clearTimeout(timer);
							waiters.delete(waiter);
							resolve(found);
						}
					},
				};
				waiters.add(waiter);
				probeUrgently();
			});
		},
		update() {
			for (const waiter of waiters) {
				waiter.check(readView());
			}

			if (waiters.size > 0) {
				probeUrgently();
			}
		},
		close() {
			clearTimeout(urgentTimer);
		},
	};
}
