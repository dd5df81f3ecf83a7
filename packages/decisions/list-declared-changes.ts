import type {Change} from './change.ts';
import type {Declaration} from './declaration.ts';

/**
 * Lists the changes that create the contents of a declaration in an empty configuration.
 *
 * An entry follows the entries that it refers to, such as a key its workspace.
 */
export function listDeclaredChanges(declaration: Declaration): readonly Change[] {
	const {
		workspaces = {}, keys = {}, freshness = {}, exceptions = [], routes = {},
	} = declaration;
	return [
		...Object.entries(workspaces).map(([workspace, limit]): Change => ({kind: 'setWorkspace', workspace, ...limit})),
		...Object.entries(keys).map(([keyId, key]): Change => ({kind: 'addKey', keyId, ...key})),
		...Object.entries(freshness).map(([readKind, value]): Change => ({kind: 'setFreshness', readKind, freshness: value})),
		...exceptions.map(({kind: readKind, ...exception}): Change => ({kind: 'setException', readKind, ...exception})),
		...Object.entries(routes).map(([route, content]): Change => ({kind: 'setRoute', route, ...content})),
	];
}
