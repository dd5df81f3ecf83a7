import type {GroupRow} from './group-row.ts';
import type {Versioned} from './versioned.ts';

/** Row of the group of the models before a failover. */
export const modelRow: Versioned<GroupRow> = {
	version: 1, epoch: 1, state: 'serving', primary: 'old', successor: '', holder: 'x', token: 1,
};
