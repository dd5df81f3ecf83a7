import {Buffer} from 'node:buffer';
import {createConfiguration, type Configuration} from '@sapphirefall/decisions';
import {parseConfiguration} from './parse-configuration.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Reads a configuration from the object store. An empty name stands for the initial configuration.
 *
 * @throws {Error} When the platform does not answer or the object is not a configuration.
 */
export async function readConfigurationBody(platform: PlatformClient, object: string): Promise<Configuration> {
	if (object === '') {
		return createConfiguration();
	}

	const body = await platform.readObject(object);
	return parseConfiguration(Buffer.from(body).toString('utf8'));
}
