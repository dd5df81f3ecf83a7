import {parseConfigurationHead} from './parse-configuration-head.ts';
import type {ConfigurationHead} from './configuration-head.ts';

/** Content that stands for the absent row of a new fleet. */
const emptyHead: ConfigurationHead = {
	object: '', changes: [], roster: {
		epoch: 0, hosts: [], homes: [], acceptors: [],
	},
};

/**
 * Parses the table row that refers to the configuration in force. An absent row (version 0) is that of a new fleet.
 *
 * @throws {Error} When the value of the row is not JSON or does not match the schema.
 */
export function parseConfigurationRow(row: {readonly version: number; readonly value: string}): ConfigurationHead {
	return row.version === 0 ? emptyHead : parseConfigurationHead(row.value);
}
