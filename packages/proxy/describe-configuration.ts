import type {Configuration} from '@sapphirefall/decisions';

/** Describes a configuration as JSON for operators; of keys it names only the workspace. */
export function describeConfiguration(configuration: Configuration): string {
	const keys = Object.fromEntries(Object.entries(configuration.keys).map(([id, {workspace}]) => [id, workspace]));
	return JSON.stringify({...configuration, keys}, undefined, '\t');
}
