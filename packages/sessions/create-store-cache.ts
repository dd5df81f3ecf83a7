import type {SessionConfiguration} from './session-configuration.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {CachedConfiguration} from './cached-configuration.ts';
import type {CachedTable} from './cached-table.ts';
import type {ListedInstance} from './listed-instance.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {StoreRow} from './store-row.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly decodeConfiguration: (text: string) => SessionConfiguration;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	/** Called with the fleet's rows whenever they change. */
	readonly onFleet: (fleet: FleetRows) => void;
	readonly log: SessionLog;
};

/** Decoded contents of the store's tables, as this host last received them. */
type StoreCache = {
	readonly updateTable: (table: StoreTable, newer: CachedTable) => void;
	/** Latest configuration, and the moment as of which the store confirmed it. */
	readonly findConfiguration: () => CachedConfiguration | undefined;
	readonly listInstances: () => readonly ListedInstance[];
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which the store confirmed a table. */
	readonly findConfirmedAt: (table: StoreTable) => Instant | undefined;
};

/**
 * Creates the cache of the store's decoded tables.
 *
 * A configuration is never replaced by an older version. One that cannot be decoded is logged and ignored.
 */
export function createStoreCache({decodeConfiguration, decodeInstance, onFleet, log}: Options): StoreCache {
	const tables = new Map<StoreTable, CachedTable>();
	let cached: CachedConfiguration | undefined;
	let configurationRow: StoreRow | undefined;
	let instances: readonly ListedInstance[] = [];
	let fleet: FleetRows | undefined;

	const updateConfiguration = ({rows, confirmedAt}: CachedTable) => {
		const row = rows.get('config');
		if (row?.value === undefined) {
			return;
		}

		if (cached !== undefined && row.version === configurationRow?.version) {
			cached = {...cached, confirmedAt};
			return;
		}

		try {
			const configuration = decodeConfiguration(row.value);
			if (cached === undefined || configuration.version >= cached.configuration.version) {
				configurationRow = row;
				cached = {configuration, confirmedAt};
				log.info({
					version: configuration.version, rowVersion: row.version, routes: configuration.routes.size, workspaces: configuration.limits.size,
				}, 'configuration: The host applied a version.');
			} else {
				log.warn({version: configuration.version, rowVersion: row.version, knownVersion: cached.configuration.version}, 'configuration: The host leaves out a version that is older than the applied one.');
			}
		} catch (error) {
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: The host cannot decode a version and keeps the previous one.');
		}
	};

	const updateInstances = ({rows}: CachedTable) => {
		instances = [...rows]
			.map(([id, row]) => decodeInstance(id, row.value ?? ''))
			.filter(entry => entry !== undefined);
	};

	const updateFleet = ({rows}: CachedTable) => {
		fleet = parseFleetRows(rows.values(), log);
		onFleet(fleet);
	};

	return {
		updateTable(table, newer) {
			const before = tables.get(table);
			tables.set(table, newer);
			if (table === 'configuration') {
				updateConfiguration(newer);
			} else if (before?.rows !== newer.rows) {
				(table === 'instances' ? updateInstances : updateFleet)(newer);
			}
		},
		findConfiguration: () => cached,
		listInstances: () => instances,
		findFleet: () => fleet,
		findConfirmedAt: table => tables.get(table)?.confirmedAt,
	};
}
