import type {Configuration} from './configuration.ts';

const indexes = new WeakMap<Configuration, ReadonlyMap<string, string>>();

/**
 * Finds the workspace to which a key belongs.
 *
 * @param configuration The configuration in force.
 * @param digest SHA-256 of the key, in hexadecimal.
 * @returns The workspace's name, or `undefined` when the key was withdrawn or never given.
 */
export function findWorkspace(configuration: Configuration, digest: string): string | undefined {
	const known = indexes.get(configuration);
	if (known !== undefined) {
		return known.get(digest);
	}

	const index = new Map(Object.values(configuration.keys).map(key => [key.digest, key.workspace]));
	indexes.set(configuration, index);
	return index.get(digest);
}
