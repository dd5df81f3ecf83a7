import type {SessionConfiguration} from '../session-configuration.ts';

/**
 * Finds a workspace in whose name a host may query positions and states at any instance: one without a restriction to
 * regions, if there is one.
 */
export function findUnrestrictedWorkspace({limits, allowedRegions}: Pick<SessionConfiguration, 'limits' | 'allowedRegions'>): string | undefined {
	const workspaces = [...limits.keys()];
	return workspaces.find(workspace => !allowedRegions.has(workspace)) ?? workspaces[0];
}
