import type {GroupState} from './group-state.ts';
import type {HostState} from './host-state.ts';

/** Updates the state of one database group; returns the host's state unchanged if the host does not know the group. */
export function updateGroup(
	state: HostState,
	database: string,
	update: (group: GroupState) => GroupState,
): HostState {
	const group = state.groups.get(database);
	return group === undefined ? state : {...state, groups: new Map(state.groups).set(database, update(group))};
}
