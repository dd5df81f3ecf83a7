import type {GroupPrimary} from './group-primary.ts';
import type {HostState} from './host-state.ts';

/** Lists the primaries of all groups that have a known one. */
export function listPrimaries(state: HostState): readonly GroupPrimary[] {
	return [...state.groups.values()]
		.filter(({view}) => view.primary !== undefined)
		.map(({view}) => ({database: view.group.database, term: view.term, instance: view.primary ?? ''}));
}
