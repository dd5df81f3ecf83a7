import type {Purse} from './purse.ts';

/** Creates a purse without loans. */
export function createPurse(now: number): Purse {
	return {
		loans: [], nextId: 1, demand: 0, demandAt: now,
	};
}
