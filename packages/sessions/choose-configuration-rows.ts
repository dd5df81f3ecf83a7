import {decodeStoreVersion} from './decode-store-version.ts';
import type {StoreRow} from './store-row.ts';

type Rows = ReadonlyMap<string, StoreRow>;

type Options = {
	/** Rows that this host has. */
	readonly known: Rows | undefined;
	/** Rows that were read from the store or received from another host. */
	readonly newer: Rows;
	/** Finds the version that operators gave the configuration in a row; undefined if the row cannot be decoded. */
	readonly findConfigurationVersion: (row: StoreRow) => number | undefined;
};

/** Key of the row that holds the configuration. */
const configurationKey = 'config';

/**
 * Chooses the rows of the `configuration` table when newer ones arrive.
 *
 * When the store comes back from an older copy, it may hold an older configuration until the operators write theirs again.
 * A host then keeps the row that it knows and passes it on, so that no host goes back to what the operators have
 * withdrawn. The row keeps its version, by which others see that the present era has not confirmed it.
 */
export function chooseConfigurationRows({known, newer, findConfigurationVersion}: Options): Rows {
	const knownRow = known?.get(configurationKey);
	const newerRow = newer.get(configurationKey);
	if (knownRow === undefined || (newerRow !== undefined && findEra(newerRow) <= findEra(knownRow))) {
		return newer;
	}

	const isKept = newerRow === undefined || (findConfigurationVersion(knownRow) ?? 0) > (findConfigurationVersion(newerRow) ?? Number.POSITIVE_INFINITY);
	return isKept ? new Map([...newer, [configurationKey, knownRow]]) : newer;
}

function findEra({version}: StoreRow): number {
	return decodeStoreVersion(version).era;
}
