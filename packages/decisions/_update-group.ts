import type {GroupState} from './group-state.ts';
import type {HostState} from './host-state.ts';

/** Updates what a host keeps of one database group; a group that is not known is left out. */
export function updateGroup(
	state: HostState,
	database: string,
	update: (group: GroupState) => GroupState,
): HostState {
	const group = state.groups.get(database);
	return group === undefined ? state : {...state, groups: new Map(state.groups).set(database, update(group))};
}
