import type {Configuration} from './configuration.ts';

/** Workspaces by key digest, for each version of the configuration. */
const indexByConfiguration = new WeakMap<Configuration, ReadonlyMap<string, string>>();

/**
 * Finds the workspace that a key belongs to.
 *
 * @param configuration The configuration in force.
 * @param digest SHA-256 of the key, in hexadecimal.
 * @returns The workspace's name, or `undefined` when the key was withdrawn or never added.
 */
export function findWorkspace(configuration: Configuration, digest: string): string | undefined {
	const cachedIndex = indexByConfiguration.get(configuration);
	if (cachedIndex !== undefined) {
		return cachedIndex.get(digest);
	}

	const index = new Map(Array.from(configuration.keys.values(), key => [key.digest, key.workspace]));
	indexByConfiguration.set(configuration, index);
	return index.get(digest);
}
