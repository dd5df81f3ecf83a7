import type {FleetConfiguration} from '@sapphirefall/decisions';

/** Formats configuration and roster as the text that hosts pass on. */
export function formatFleetConfiguration({configuration, roster}: FleetConfiguration): string {
	return JSON.stringify({configuration: JSON.stringify(configuration), roster});
}
