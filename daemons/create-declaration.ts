import {requireFreshness, type Declaration} from '@sapphirefall/decisions';
import type {DeclarationFile} from '@sapphirefall/settings';

/** Creates a declaration from a validated declaration file. Absent sections stay absent. */
export function createDeclaration({
	workspaces, keys, freshness, exceptions, routes,
}: DeclarationFile): Declaration {
	return {
		...(workspaces && {workspaces}),
		...(keys && {keys}),
		...(freshness && {
			freshness: Object.fromEntries(Object.entries(freshness).map(([kind, text]) => [kind, requireFreshness(text)])),
		}),
		...(exceptions && {
			exceptions: exceptions.map(exception => ({...exception, freshness: requireFreshness(exception.freshness)})),
		}),
		...(routes && {
			routes: Object.fromEntries(Object.entries(routes).map(([route, content]) =>
				[route, {...content, freshness: requireFreshness(content.freshness)}])),
		}),
	};
}
