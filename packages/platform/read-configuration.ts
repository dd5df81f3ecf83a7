import {Buffer} from 'node:buffer';
import {createConfiguration, type Configuration} from '@sapphirefall/decisions';
import {configurationRow} from './configuration-row.ts';
import {parseConfiguration} from './parse-configuration.ts';
import {parseHead} from './parse-head.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Reads the configuration in force.
 *
 * The body is fetched only when the version differs from that of the known configuration.
 *
 * @throws {Error} When the platform does not answer.
 */
export async function readConfiguration(platform: PlatformClient, known: Configuration): Promise<Configuration> {
	const row = await platform.readRow(configurationRow);
	if (row.version === known.version) {
		return known;
	}

	if (row.version === 0) {
		return createConfiguration();
	}

	const body = await platform.readObject(parseHead(row.value).object);
	return parseConfiguration(Buffer.from(body).toString('utf8'));
}
