import {createConfiguration} from './create-configuration.ts';
import type {Change} from './change.ts';
import type {Declaration} from './declaration.ts';

/**
 * Lists the changes that create the contents of a declaration in an empty configuration.
 *
 * An entry follows the entries that it refers to, such as a key its workspace.
 */
export function listDeclaredChanges(declaration: Declaration): readonly Change[] {
	const {
		workspaces, keys, freshness, exceptions, routes,
	} = {...createConfiguration(), ...declaration};
	return [
		...Array.from(workspaces, ([workspace, limit]): Change => ({kind: 'setWorkspace', workspace, ...limit})),
		...Array.from(keys, ([keyId, key]): Change => ({kind: 'addKey', keyId, ...key})),
		...Array.from(freshness, ([readKind, value]): Change => ({kind: 'setFreshness', readKind, freshness: value})),
		...exceptions.map(({kind: readKind, ...exception}): Change => ({kind: 'setException', readKind, ...exception})),
		...Array.from(routes, ([route, content]): Change => ({kind: 'setRoute', route, ...content})),
	];
}
