import {parseFreshness, type Declaration, type Freshness} from '@sapphirefall/decisions';
import type {DeclarationFile} from '@sapphirefall/settings';

/** Creates a declaration from its checked file. */
export function createDeclaration({
	workspaces, keys, freshness, exceptions, routes,
}: DeclarationFile): Declaration {
	return {
		...(workspaces && {workspaces}),
		...(keys && {keys}),
		...(freshness && {
			freshness: Object.fromEntries(Object.entries(freshness).map(([kind, text]) => [kind, readFreshness(text)])),
		}),
		...(exceptions && {
			exceptions: exceptions.map(exception => ({...exception, freshness: readFreshness(exception.freshness)})),
		}),
		...(routes && {
			routes: Object.fromEntries(Object.entries(routes).map(([route, content]) =>
				[route, {...content, freshness: readFreshness(content.freshness)}])),
		}),
	};
}

/** Reads a freshness that the schema has checked. */
function readFreshness(text: string): Freshness {
	const freshness = parseFreshness(text);
	if (freshness === undefined) {
		throw new Error(`The freshness "${text}" is unknown`);
	}

	return freshness;
}
