import type {Configuration} from './configuration.ts';
import type {Freshness} from './freshness.ts';

/**
 * Finds the freshness of a read that names only its kind.
 *
 * An exception of the workspace goes before the fleet-wide default.
 *
 * @returns The freshness, or `undefined` when the kind has no default.
 */
export function findFreshness(
	configuration: Configuration,
	read: {readonly workspace: string; readonly kind: string},
): Freshness | undefined {
	const exception = configuration.exceptions
		.find(({workspace, kind}) => workspace === read.workspace && kind === read.kind);
	return exception?.freshness ?? configuration.freshness[read.kind];
}
