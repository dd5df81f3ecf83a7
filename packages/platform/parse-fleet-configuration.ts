import {z} from 'zod';
import type {FleetConfiguration} from '@sapphirefall/decisions';
import {rosterSchema} from './roster-schema.ts';
import {parseConfiguration} from './parse-configuration.ts';

const schema = z.strictObject({
	configuration: z.string(),
	roster: rosterSchema.extend({head: z.number()}),
});

/**
 * Parses the configuration and roster that another host passed on.
 *
 * @throws {Error} When the text is not of {@link formatFleet}.
 */
export function parseFleetConfiguration(text: string): FleetConfiguration {
	const {configuration, roster} = schema.parse(JSON.parse(text));
	return {configuration: parseConfiguration(configuration), roster};
}
