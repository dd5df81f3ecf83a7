import type {Group} from './group.ts';
import type {GroupView} from './group-view.ts';

/** Creates the view of a group whose instances have not answered yet. */
export function createGroupView(group: Group): GroupView {
	return {
		group,
		term: 0,
		primary: undefined,
		instances: new Map(),
		proof: undefined,
		recentProofs: [],
		acknowledged: undefined,
	};
}
