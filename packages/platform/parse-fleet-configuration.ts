import {z} from 'zod';
import type {FleetConfiguration} from '@sapphirefall/decisions';
import {rosterSchema} from './roster-schema.ts';
import {parseConfiguration} from './parse-configuration.ts';

const schema = z.strictObject({
	configuration: z.string(),
	roster: rosterSchema.extend({head: z.number()}),
});

/**
 * Parses the configuration and the roster that another host sent.
 *
 * @throws {Error} When the text does not have the form that {@link formatFleetConfiguration} writes.
 */
export function parseFleetConfiguration(text: string): FleetConfiguration {
	const {configuration, roster} = schema.parse(JSON.parse(text));
	return {configuration: parseConfiguration(configuration), roster};
}
