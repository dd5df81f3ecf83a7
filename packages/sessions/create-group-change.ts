import {fleetKeys} from './fleet-keys.ts';
import type {GroupRow} from './group-row.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

/**
 * Creates the change of the store that writes the row of a group, provided that its version there is still `version`; 0 for
 * a row that must not exist.
 */
export function createGroupChange(group: string, {version, ...row}: Versioned<GroupRow>): Parameters<Store['commit']>[0] {
	const key = `${fleetKeys.groupPrefix}${group}`;
	return {expected: new Map([[key, version]]), values: new Map([[key, JSON.stringify(row)]])};
}
