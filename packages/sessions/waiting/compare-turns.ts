import type {LaneTurn} from './lane-turn.ts';

/** Compares two turns: by round, in a round those on time first, and then by due time. Returns a negative number if the first is served before the second. */
export function compareTurns(first: LaneTurn, second: LaneTurn): number {
	return (first.round - second.round)
		|| (Number(first.isLate) - Number(second.isLate))
		|| (first.due - second.due);
}
