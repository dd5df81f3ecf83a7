import type {FleetConfiguration} from '@sapphirefall/decisions';
import {formatConfiguration} from './format-configuration.ts';

/** Formats the configuration and the roster as JSON, in which form hosts exchange them. */
export function formatFleetConfiguration({configuration, roster}: FleetConfiguration): string {
	return JSON.stringify({configuration: formatConfiguration(configuration), roster});
}
