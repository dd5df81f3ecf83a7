import {parseConfigurationHead} from './parse-configuration-head.ts';
import type {ConfigurationHead} from './configuration-head.ts';

/** What the row of a new fleet would hold. */
const emptyHead: ConfigurationHead = {
	object: '', changes: [], roster: {
		epoch: 0, hosts: [], homes: [], acceptors: [],
	},
};

/**
 * Parses the table row that names the configuration; an absent row is that of a new fleet.
 *
 * @throws {Error} When the row holds something else.
 */
export function parseConfigurationRow(row: {readonly version: number; readonly value: string}): ConfigurationHead {
	return row.version === 0 ? emptyHead : parseConfigurationHead(row.value);
}
