import type {FleetConfiguration} from '@sapphirefall/decisions';
import {configurationRowName} from './configuration-row-name.ts';
import {readConfigurationBody} from './read-configuration-body.ts';
import {parseConfigurationRow} from './parse-configuration-row.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Reads the configuration in force and the roster.
 *
 * Reads the object only when the version of the table row differs from the known one.
 *
 * @throws {Error} When the platform does not answer or what it holds cannot be parsed.
 */
export async function readConfiguration(
	platform: PlatformClient,
	known: FleetConfiguration,
): Promise<FleetConfiguration> {
	const row = await platform.readRow(configurationRowName);
	if (row.version === known.roster.head) {
		return known;
	}

	const {object, roster} = parseConfigurationRow(row);
	return {
		configuration: await readConfigurationBody(platform, object),
		roster: {...roster, head: row.version},
	};
}
