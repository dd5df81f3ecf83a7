import type {GroupPrimary} from './group-primary.ts';
import type {GroupView} from './group-view.ts';

/**
 * Adopts a primary of a higher term than the known one, or the first one known of the present term.
 *
 * Drops the proofs and the acknowledged point of the old term. Ignores an instance that is not in the group.
 */
export function adoptPrimary(view: GroupView, found: GroupPrimary): GroupView {
	const isKnown = view.primary !== undefined && view.term >= found.term;
	const isListed = view.group.instances.some(({id}) => id === found.instance);
	if (found.term < view.term || isKnown || !isListed) {
		return view;
	}

	return {
		...view, term: found.term, primary: found.instance, proof: undefined, recentProofs: [], acknowledged: undefined,
	};
}
