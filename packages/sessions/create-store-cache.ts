import {chooseConfigurationRows} from './choose-configuration-rows.ts';
import type {ChooseRows} from './choose-rows.ts';
import {chooseEvacuationRows} from './evacuation/choose-evacuation-rows.ts';
import type {Evacuations} from './evacuation/evacuations.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
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
	/** Finds the zone that a row of the operators evacuates, by its key; undefined if it evacuates none. Defaults to none. */
	readonly decodeEvacuatedZone?: (key: string) => string | undefined;
	/** Called with the evacuated zones whenever the operators' rows change. */
	readonly onEvacuations?: Evacuations['update'];
	/** Called with the fleet's rows whenever they change. */
	readonly onFleet: (fleet: FleetRows) => void;
	readonly log: SessionLog;
};

/** A row of the list of instances. */
type Entry = {
	/** Version of the row. */
	readonly version: number;
	/** Undefined if the row does not describe an instance. */
	readonly instance: ListedInstance | undefined;
};

/** Decoded contents of the store's tables, as this host last received them. */
type StoreCache = {
	readonly chooseRows: ChooseRows;
	readonly updateTable: (table: StoreTable, newer: CachedTable) => void;
	/** Latest configuration, and the moment as of which the store confirmed it. */
	readonly findConfiguration: () => CachedConfiguration | undefined;
	readonly listInstances: () => readonly ListedInstance[];
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which the store confirmed a table. */
	readonly findConfirmedAt: (table: StoreTable) => Instant | undefined;
};

/** Moment as of which a configuration is confirmed that the present era of the store has not confirmed. */
const neverConfirmed: Instant = {steady: Number.NEGATIVE_INFINITY, wall: Number.NEGATIVE_INFINITY};

/**
 * Creates the cache of the store's decoded tables.
 *
 * A configuration is never replaced by an older version, and an older one in the store does not confirm it. One that
 * cannot be decoded is logged and ignored. One that is known only from other hosts, because the store has lost it, is
 * applied but counts as not confirmed.
 */
export function createStoreCache({
	decodeConfiguration, decodeInstance, decodeEvacuatedZone = () => undefined, onEvacuations, onFleet, log,
}: Options): StoreCache {
	const tables = new Map<StoreTable, CachedTable>();
	let cached: CachedConfiguration | undefined;
	let configurationRow: StoreRow | undefined;
	/** Version of a row that holds an older configuration than the applied one, or one that cannot be decoded. */
	let leftOutVersion: number | undefined;
	/** Whether the store has lost the applied configuration. */
	let isLost = false;
	/** Decoded entries of the list of instances, by id. */
	let entries: ReadonlyMap<string, Entry> = new Map();
	let instances: readonly ListedInstance[] = [];
	let fleet: FleetRows | undefined;
	/** Versions of the rows of the fleet table that are left out, by key. */
	let leftOutFleetRows: ReadonlyMap<string, number> = new Map();

	/** Confirms the applied configuration; `confirmedAt` is undefined while the store has lost it. */
	const confirm = (configuration: SessionConfiguration, confirmedAt: Instant | undefined) => {
		if (confirmedAt !== undefined) {
			cached = {configuration, confirmedAt};
		} else if (!isLost) {
			log.warn({version: configuration.version}, 'configuration: The store came back without the applied version; the host keeps it until operators write again.');
		}

		isLost = confirmedAt === undefined;
	};

	const updateConfiguration = ({rows, version, confirmedAt}: CachedTable) => {
		const row = rows.get('config');
		if (row?.value === undefined || row.version === leftOutVersion) {
			return;
		}

		const isConfirmed = decodeStoreVersion(row.version).era === decodeStoreVersion(version).era;
		if (cached !== undefined && row.version === configurationRow?.version) {
			confirm(cached.configuration, isConfirmed ? confirmedAt : undefined);
			return;
		}

		try {
			const configuration = decodeConfiguration(row.value);
			if (cached === undefined || configuration.version >= cached.configuration.version) {
				configurationRow = row;
				cached = {configuration, confirmedAt: isConfirmed ? confirmedAt : neverConfirmed};
				log.info({
					version: configuration.version,
					isConfirmed,
					rowVersion: row.version,
					routes: configuration.routes.size,
					workspaces: configuration.limits.size,
					restricted: configuration.allowedRegions.size,
				}, 'configuration: The host applied a version.');
			} else {
				leftOutVersion = row.version;
				log.warn({version: configuration.version, rowVersion: row.version, knownVersion: cached.configuration.version}, 'configuration: The host leaves out a version that is older than the applied one.');
			}
		} catch (error) {
			leftOutVersion = row.version;
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: The host cannot decode a version and keeps the previous one.');
		}
	};

	/** Finds the entry of a row; decodes only a row that has changed, since other rows of the table change often. */
	const findEntry = (id: string, {value = '', version}: StoreRow): Entry => {
		const known = entries.get(id);
		if (known?.version === version) {
			return known;
		}

		const instance = decodeInstance(id, value);
		if (instance === undefined) {
			log.warn({id, version, length: value.length}, 'store: The host leaves out an entry of the list of instances that describes no instance.');
		}

		return {version, instance};
	};

	const updateInstances = ({rows}: CachedTable) => {
		entries = new Map([...rows].map(([id, row]) => [id, findEntry(id, row)]));
		instances = [...entries.values()].map(({instance}) => instance).filter(instance => instance !== undefined);
	};

	const updateFleet = ({rows}: CachedTable) => {
		const leftOut = new Map<string, number>();
		fleet = parseFleetRows(rows.values(), ({key, version, value = ''}) => {
			leftOut.set(key, version);
			if (leftOutFleetRows.get(key) !== version) {
				log.warn({key, version, length: value.length}, 'store: The host leaves out a row of the fleet table that it cannot read.');
			}
		});
		leftOutFleetRows = leftOut;
		onFleet(fleet);
	};

	const updateEvacuations = ({rows}: CachedTable, confirmedBefore: Instant | undefined) => {
		onEvacuations?.([...rows.keys()].map(key => decodeEvacuatedZone(key)).filter(zone => zone !== undefined), confirmedBefore);
	};

	/** Chooses the rows of the operators' table. */
	const chooseOperatorRows: ChooseRows = (_table, rows) => chooseEvacuationRows({
		...rows,
		newer: chooseConfigurationRows({...rows, findConfigurationVersion}),
		isEvacuation: key => decodeEvacuatedZone(key) !== undefined,
	});

	const findConfigurationVersion = ({value = ''}: StoreRow): number | undefined => {
		try {
			return decodeConfiguration(value).version;
		} catch {
			// `updateConfiguration` logs a row that cannot be decoded.
			return undefined;
		}
	};

	return {
		chooseRows: (table, rows) => table === 'configuration' ? chooseOperatorRows(table, rows) : rows.newer,
		updateTable(table, newer) {
			const before = tables.get(table);
			tables.set(table, newer);
			if (table === 'configuration') {
				updateConfiguration(newer);
				if (before?.rows !== newer.rows) {
					updateEvacuations(newer, before?.confirmedAt);
				}
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
