import type {Configuration} from './configuration.ts';
import type {Freshness} from './freshness.ts';

/**
 * Finds the freshness of a read that names its kind but no freshness.
 *
 * An exception for the workspace takes precedence over the fleet-wide default.
 *
 * @returns The freshness, or `undefined` when the kind of read is not configured.
 */
export function findFreshness(
	configuration: Configuration,
	read: {readonly workspace: string; readonly kind: string},
): Freshness | undefined {
	const exception = configuration.exceptions
		.find(({workspace, kind}) => workspace === read.workspace && kind === read.kind);
	return exception?.freshness ?? configuration.freshness.get(read.kind);
}
