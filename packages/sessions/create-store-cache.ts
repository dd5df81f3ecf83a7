import type {SessionConfiguration} from './session-configuration.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {CachedConfiguration} from './cached-configuration.ts';
import type {CachedTable} from './cached-table.ts';
import type {ListedInstance} from './listed-instance.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly decodeConfiguration: (text: string) => SessionConfiguration;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	/** Called with the fleet's rows when they have changed. */
	readonly onFleet: (fleet: FleetRows) => void;
	readonly log: SessionLog;
};

/** What a host knows of the store, decoded. */
type StoreCache = {
	readonly updateTable: (table: StoreTable, newer: CachedTable) => void;
	/** The newest configuration and the moment as of which it is known. */
	readonly findConfiguration: () => CachedConfiguration | undefined;
	readonly listInstances: () => readonly ListedInstance[];
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which a table is known. */
	readonly findConfirmedAt: (table: StoreTable) => Instant | undefined;
};

/** Creates what a host knows of the store. A configuration never goes back to an older version. */
export function createStoreCache({decodeConfiguration: decodeDirectory, decodeInstance, onFleet, log}: Options): StoreCache {
	const tables = new Map<StoreTable, CachedTable>();
	let known: CachedConfiguration | undefined;
	let directoryRowVersion = -1;
	let listed: readonly ListedInstance[] = [];
	let fleet: FleetRows | undefined;

	const takeConfiguration = ({rows, confirmedAt: provenAt}: CachedTable) => {
		const row = rows.get('config');
		if (row?.value === undefined) {
			return;
		}

		if (known !== undefined && row.version === directoryRowVersion) {
			known = {...known, confirmedAt: provenAt};
			return;
		}

		try {
			const directory = decodeDirectory(row.value);
			if (known === undefined || directory.version >= known.configuration.version) {
				directoryRowVersion = row.version;
				known = {configuration: directory, confirmedAt: provenAt};
				log.info({version: directory.version, routes: directory.routes.size, workspaces: directory.limits.size}, 'configuration: A version is in force.');
			}
		} catch (error) {
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: A version cannot be read; the older one stays.');
		}
	};

	const takeInstances = ({rows}: CachedTable) => {
		listed = [...rows]
			.map(([id, row]) => decodeInstance(id, row.value ?? ''))
			.filter(entry => entry !== undefined);
	};

	const takeFleet = ({rows}: CachedTable) => {
		fleet = parseFleetRows(rows.values(), log);
		onFleet(fleet);
	};

	return {
		updateTable(table, newer) {
			const before = tables.get(table);
			tables.set(table, newer);
			if (table === 'configuration') {
				takeConfiguration(newer);
			} else if (before?.rows !== newer.rows) {
				(table === 'instances' ? takeInstances : takeFleet)(newer);
			}
		},
		findConfiguration: () => known,
		listInstances: () => listed,
		findFleet: () => fleet,
		findConfirmedAt: table => tables.get(table)?.confirmedAt,
	};
}
