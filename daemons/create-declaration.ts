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
			freshness: new Map(Array.from(freshness, ([kind, text]) => [kind, requireFreshness(text)])),
		}),
		...(exceptions && {
			exceptions: exceptions.map(exception => ({...exception, freshness: requireFreshness(exception.freshness)})),
		}),
		...(routes && {
			routes: new Map(Array.from(routes, ([route, content]) =>
				[route, {...content, freshness: requireFreshness(content.freshness)}])),
		}),
	};
}
