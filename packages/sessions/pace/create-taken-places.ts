type Options = {
	readonly findLimit: () => number;
	/** Returns how many overdue statements are left out of the count at most. */
	readonly findOverdueLimit: () => number;
	/** Returns the milliseconds after which a statement is overdue. */
	readonly findOverdueMs: () => number;
	/** Called when a place may be free because a statement is overdue, if `watch` was called. */
	readonly onOverdue: () => void;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** The places of statements in progress. */
type TakenPlaces = {
	/** Takes a place, also beyond the limit. */
	readonly take: () => TakenPlace;
	/** Returns whether the place was still taken. */
	readonly giveBack: (taken: TakenPlace) => boolean;
	/** Whether one more is within the limit. */
	readonly hasFree: () => boolean;
	/** Counts all statements in progress. */
	readonly count: () => number;
	/** Has `onOverdue` called when the next statement becomes overdue. */
	readonly watch: () => void;
};

type TakenPlace = {
	readonly takenAt: number;
	/** Whether the place counts towards the limit. */
	isCounted: boolean;
};

/**
 * Creates the places of an instance, none of which is taken.
 *
 * Overdue statements do not count towards the limit: the instance may have lost their answers and freed their slots. Only
 * some are left out, since the instance may also have become slow.
 */
export function createTakenPlaces({
	findLimit, findOverdueLimit, findOverdueMs, onOverdue, now,
}: Options): TakenPlaces {
	/** The places, the one that was taken first in front. */
	const places = new Set<TakenPlace>();
	let counted = 0;
	let timer: NodeJS.Timeout | undefined;

	const mayLeaveOut = () => places.size - counted < findOverdueLimit();

	const leaveOutOverdue = () => {
		const before = now() - findOverdueMs();
		for (const taken of places) {
			if (taken.takenAt > before || !mayLeaveOut()) {
				return;
			}

			counted -= taken.isCounted ? 1 : 0;
			taken.isCounted = false;
		}
	};

	return {
		take() {
			const taken = {takenAt: now(), isCounted: true};
			places.add(taken);
			counted++;
			return taken;
		},
		giveBack(taken) {
			const wasTaken = places.delete(taken);
			counted -= wasTaken && taken.isCounted ? 1 : 0;
			return wasTaken;
		},
		hasFree() {
			leaveOutOverdue();
			return counted < findLimit();
		},
		count: () => places.size,
		watch() {
			const first = [...places].find(({isCounted}) => isCounted);
			if (timer === undefined && first !== undefined && mayLeaveOut()) {
				timer = setTimeout(() => {
					timer = undefined;
					onOverdue();
				}, Math.max(1, first.takenAt + findOverdueMs() - now()));
			}
		},
	};
}
