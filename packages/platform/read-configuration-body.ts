import {Buffer} from 'node:buffer';
import {createConfiguration, type Configuration} from '@sapphirefall/decisions';
import {parseConfiguration} from './parse-configuration.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Reads the body of a configuration from the object store; an empty name stands for the first one.
 *
 * @throws {Error} When the platform does not answer.
 */
export async function readConfigurationBody(platform: PlatformClient, object: string): Promise<Configuration> {
	if (object === '') {
		return createConfiguration();
	}

	const body = await platform.readObject(object);
	return parseConfiguration(Buffer.from(body).toString('utf8'));
}
