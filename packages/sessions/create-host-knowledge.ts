import type {Directory} from './directory.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {KnownDirectory} from './known-directory.ts';
import type {KnownTable} from './known-table.ts';
import type {ListedInstance} from './listed-instance.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly decodeDirectory: (text: string) => Directory;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	/** Called with the fleet's rows when they have changed. */
	readonly onFleet: (fleet: FleetRows) => void;
	readonly log: SessionLog;
};

/** What a host knows of the store, decoded. */
type HostKnowledge = {
	readonly takeTable: (table: StoreTable, newer: KnownTable) => void;
	/** The newest configuration and the moment as of which it is known. */
	readonly findDirectory: () => KnownDirectory | undefined;
	readonly listInstances: () => readonly ListedInstance[];
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which a table is known. */
	readonly findProof: (table: StoreTable) => Instant | undefined;
};

/** Creates what a host knows of the store. A configuration never goes back to an older version. */
export function createHostKnowledge({decodeDirectory, decodeInstance, onFleet, log}: Options): HostKnowledge {
	const tables = new Map<StoreTable, KnownTable>();
	let known: KnownDirectory | undefined;
	let directoryRowVersion = -1;
	let listed: readonly ListedInstance[] = [];
	let fleet: FleetRows | undefined;

	const takeConfiguration = ({rows, provenAt}: KnownTable) => {
		const row = rows.get('config');
		if (row?.value === undefined) {
			return;
		}

		if (known !== undefined && row.version === directoryRowVersion) {
			known = {...known, provenAt};
			return;
		}

		try {
			const directory = decodeDirectory(row.value);
			if (known === undefined || directory.version >= known.directory.version) {
				directoryRowVersion = row.version;
				known = {directory, provenAt};
				log.info({version: directory.version, routes: directory.routes.size, workspaces: directory.limits.size}, 'configuration: A version is in force.');
			}
		} catch (error) {
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: A version cannot be read; the older one stays.');
		}
	};

	const takeInstances = ({rows}: KnownTable) => {
		listed = [...rows]
			.map(([id, row]) => decodeInstance(id, row.value ?? ''))
			.filter(entry => entry !== undefined);
	};

	const takeFleet = ({rows}: KnownTable) => {
		fleet = parseFleetRows(rows.values(), log);
		onFleet(fleet);
	};

	return {
		takeTable(table, newer) {
			const before = tables.get(table);
			tables.set(table, newer);
			if (table === 'configuration') {
				takeConfiguration(newer);
			} else if (before?.rows !== newer.rows) {
				(table === 'instances' ? takeInstances : takeFleet)(newer);
			}
		},
		findDirectory: () => known,
		listInstances: () => listed,
		findFleet: () => fleet,
		findProof: table => tables.get(table)?.provenAt,
	};
}
