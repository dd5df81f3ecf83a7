import type {Configuration} from '@sapphirefall/decisions';

/** Formats a configuration as JSON for operators; keys are shown by their identifier and workspace only. */
export function describeConfiguration(configuration: Configuration): string {
	const keys = Object.fromEntries(Object.entries(configuration.keys).map(([id, {workspace}]) => [id, workspace]));
	return JSON.stringify({...configuration, keys}, undefined, '\t');
}
