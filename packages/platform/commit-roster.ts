import type {FleetConfiguration, Roster} from '@sapphirefall/decisions';
import {configurationRowName} from './configuration-row-name.ts';
import {parseConfigurationRow} from './parse-configuration-row.ts';
import {readConfigurationBody} from './read-configuration-body.ts';
import type {ConfigurationHead} from './configuration-head.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Commits a roster with a compare-and-set on the version of the table row.
 *
 * @param platform Client of the platform.
 * @param next The roster, and in `head` the version of the row that it was chosen for.
 * @returns The configuration and roster then in force, or `undefined` when the row was changed in between.
 * @throws {Error} When the platform does not answer; the roster may have been committed.
 */
export async function commitRoster(
	platform: PlatformClient,
	next: Omit<Roster, 'epoch'>,
): Promise<FleetConfiguration | undefined> {
	const {head: expectedVersion, ...members} = next;
	const row = await platform.readRow(configurationRowName);
	if (row.version !== expectedVersion) {
		return undefined;
	}

	const previous = parseConfigurationRow(row);
	const roster = {...members, epoch: previous.roster.epoch + 1};
	const head: ConfigurationHead = {...previous, roster};
	const written = await platform.writeRow(configurationRowName, {expectedVersion, value: JSON.stringify(head)});
	return written.isWritten
		? {configuration: await readConfigurationBody(platform, head.object), roster: {...roster, head: written.row.version}}
		: undefined;
}
