import type {Configuration} from '@sapphirefall/decisions';
import {formatConfiguration} from '@sapphirefall/platform';

/** Formats a configuration as JSON for operators; keys are shown by their identifier and workspace only. */
export function describeConfiguration(configuration: Configuration): string {
	return formatConfiguration({...configuration, keys: new Map(Array.from(configuration.keys, ([id, {workspace}]) => [id, workspace]))}, '\t');
}
