import type {FleetConfiguration} from '@sapphirefall/decisions';
import {configurationRow} from './configuration-row.ts';
import {readBody} from './read-body.ts';
import {parseRow} from './parse-row.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Reads the configuration in force and the roster.
 *
 * The body is fetched only when the table row differs from the known one.
 *
 * @throws {Error} When the platform does not answer.
 */
export async function readConfiguration(
	platform: PlatformClient,
	known: FleetConfiguration,
): Promise<FleetConfiguration> {
	const row = await platform.readRow(configurationRow);
	if (row.version === known.roster.head) {
		return known;
	}

	const {object, roster} = parseRow(row);
	return {
		configuration: await readBody(platform, object),
		roster: {...roster, head: row.version},
	};
}
