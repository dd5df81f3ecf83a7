import type {AllowedRegions} from './allowed-regions.ts';

/** Finds the regions that both a route and a workspace allow. Where only one of them has a restriction, it decides alone. */
export function findAllowedRegions(route: AllowedRegions, workspace: AllowedRegions): AllowedRegions {
	if (route === undefined || workspace === undefined) {
		return route ?? workspace;
	}

	return new Set([...route].filter(region => workspace.has(region)));
}
