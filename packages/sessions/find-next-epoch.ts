import {epochsPerEra} from './epochs-per-era.ts';

/**
 * Finds the epoch or fencing token after a stored one.
 *
 * When the store comes back from an older copy, it names an earlier one than the last that was given out. Each era
 * therefore has a range of its own above those of earlier eras, so that none is given out twice, also if no host knows the
 * lost ones.
 *
 * @param previous Epoch or token in the store; 0 if there is none.
 * @param era Era in which it was read; 1 at first.
 */
export function findNextEpoch(previous: number, era: number): number {
	return Math.max(previous, (era - 1) * epochsPerEra) + 1;
}
