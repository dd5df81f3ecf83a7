import type {FairQueue} from './fair-queue.ts';

/** Creates an empty fair queue. */
export function createFairQueue<Item>(): FairQueue<Item> {
	return {waiting: new Map(), activeWorkspaces: [], deficits: new Map()};
}
