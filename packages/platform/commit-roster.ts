import type {FleetConfiguration, Roster} from '@sapphirefall/decisions';
import {configurationRowName} from './configuration-row-name.ts';
import {parseConfigurationRow} from './parse-configuration-row.ts';
import {readConfigurationBody} from './read-configuration-body.ts';
import type {ConfigurationHead} from './configuration-head.ts';
import type {PlatformClient} from './platform-client.ts';

/**
 * Commits a roster, if the table row is still the one that the roster was chosen for.
 *
 * @param platform The platform.
 * @param next The version of the row that is known, the hosts and the acceptors.
 * @returns What is in force afterwards, or `undefined` when another change went first.
 * @throws {Error} When the platform does not answer; the roster may have been committed.
 */
export async function commitRoster(
	platform: PlatformClient,
	next: Omit<Roster, 'epoch'>,
): Promise<FleetConfiguration | undefined> {
	const {head: expectedVersion, ...chosen} = next;
	const row = await platform.readRow(configurationRowName);
	if (row.version !== expectedVersion) {
		return undefined;
	}

	const old = parseConfigurationRow(row);
	const roster = {...chosen, epoch: old.roster.epoch + 1};
	const head: ConfigurationHead = {...old, roster};
	const written = await platform.writeRow(configurationRowName, {expectedVersion, value: JSON.stringify(head)});
	return written.isWritten
		? {configuration: await readConfigurationBody(platform, head.object), roster: {...roster, head: written.row.version}}
		: undefined;
}
