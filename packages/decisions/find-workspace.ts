import type {Configuration} from './configuration.ts';

/**
 * Finds the workspace to which a key belongs.
 *
 * @param configuration The configuration in force.
 * @param digest SHA-256 of the key, in hexadecimal.
 * @returns The workspace's name, or `undefined` when the key was withdrawn or never given.
 */
export function findWorkspace(configuration: Configuration, digest: string): string | undefined {
	return Object.values(configuration.keys).find(key => key.digest === digest)?.workspace;
}
