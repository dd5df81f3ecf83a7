import {expect} from 'chai';
import type {CachedTable} from './cached-table.ts';
import {createStoreCache} from './create-store-cache.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import {findTableMark} from './find-table-mark.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {SessionConfiguration} from './session-configuration.ts';

const ignore = () => undefined;

/** A read of the table: the configuration's version, and the eras and counters of its row and of the table. */
type Read = {readonly configuration: string; readonly row: readonly [number, number]; readonly table: readonly [number, number]};

function createTable({configuration, row, table}: Read, at: number): CachedTable {
	const rows = new Map([['config', {key: 'config', value: configuration, version: encodeStoreVersion({era: row[0], counter: row[1]})}]]);
	return {
		rows, version: encodeStoreVersion({era: table[0], counter: table[1]}), mark: findTableMark(rows), confirmedAt: {steady: at, wall: at}, reader: 'a1',
	};
}

describe('createStoreCache, when the store comes back from an older copy', () => {
	const known: Read = {configuration: '11', row: [1, 33], table: [1, 33]};
	const cases: ReadonlyArray<{readonly name: string; readonly reads: readonly Read[]; readonly version: number; readonly confirmedAt: number}> = [
		{
			name: 'confirms the version that the operators wrote again', reads: [known, {configuration: '11', row: [2, 32], table: [2, 32]}], version: 11, confirmedAt: 1,
		},
		{
			name: 'applies a later version whose row has the version of a lost one', reads: [known, {configuration: '14', row: [2, 33], table: [2, 33]}], version: 14, confirmedAt: 1,
		},
		{
			name: 'keeps the applied version, unconfirmed, while the store holds an older one', reads: [known, {configuration: '4', row: [2, 20], table: [2, 32]}], version: 11, confirmedAt: 0,
		},
		// Guards against counting a version as confirmed that the store has lost, because another host passed it on in a fresh table.
		{
			name: 'does not confirm the applied version by a row that another host has kept', reads: [known, {configuration: '11', row: [1, 33], table: [2, 32]}], version: 11, confirmedAt: 0,
		},
		{
			name: 'applies a version that another host has kept, and does not confirm it', reads: [{configuration: '4', row: [2, 20], table: [2, 32]}, {configuration: '11', row: [1, 33], table: [2, 32]}], version: 11, confirmedAt: Number.NEGATIVE_INFINITY,
		},
		{
			name: 'leaves out a lower version that is written later', reads: [known, {configuration: '9', row: [2, 35], table: [2, 36]}], version: 11, confirmedAt: 0,
		},
		{
			name: 'keeps the applied version, unconfirmed, while the store holds one that cannot be decoded', reads: [known, {configuration: 'broken', row: [2, 35], table: [2, 36]}], version: 11, confirmedAt: 0,
		},
	];
	for (const {name, reads, version, confirmedAt} of cases) {
		it(name, () => {
			const cache = createStoreCache({
				decodeConfiguration(text) {
					if (text === 'broken') {
						throw new Error('no configuration');
					}

					return {version: Number(text), routes: new Map(), limits: new Map()} as unknown as SessionConfiguration;
				},
				decodeInstance: ignore,
				onFleet: ignore,
				log: {debug: ignore, info: ignore, warn: ignore},
			});
			for (const [at, read] of reads.entries()) {
				cache.updateTable('configuration', createTable(read, at));
			}

			const applied = cache.findConfiguration();
			expect({version: applied?.configuration.version, confirmedAt: applied?.confirmedAt.steady}).to.deep.equal({version, confirmedAt});
		});
	}
});

describe('createStoreCache, for a configuration that cannot be decoded', () => {
	// Guards against decoding and logging it again with each confirmation by the store.
	it('decodes and logs each version of the row once', () => {
		const decoded: string[] = [];
		let lines = 0;
		const cache = createStoreCache({
			decodeConfiguration(text) {
				decoded.push(text);
				throw new TypeError('no configuration');
			},
			decodeInstance: ignore,
			onFleet: ignore,
			log: {
				debug: ignore,
				info: ignore,
				warn() {
					lines++;
				},
			},
		});
		const first: Read = {configuration: 'first', row: [1, 33], table: [1, 33]};
		for (const [at, read] of [first, {...first, table: [1, 34]} as const, first, {configuration: 'second', row: [1, 35], table: [1, 36]} as const].entries()) {
			cache.updateTable('configuration', createTable(read, at));
		}

		expect({decoded, lines}).to.deep.equal({decoded: ['first', 'second'], lines: 2});
		expect(cache.findConfiguration()).to.equal(undefined);
	});
});

describe('createStoreCache, for the list of instances', () => {
	const instance: ListedInstance = {
		id: 'i-1', group: 'pondbook', host: '10.1.0.9', port: 8080, zone: 'a', slots: 5, isDeparting: false, role: 'replica',
	};

	const createInstanceTable = (versions: Readonly<Record<string, number>>): CachedTable => {
		const rows = new Map(Object.entries(versions).map(([key, version]) => [key, {key, value: key, version}]));
		return {
			rows, version: 9, mark: findTableMark(rows), confirmedAt: {steady: 0, wall: 0}, reader: 'a1',
		};
	};

	const createCache = () => {
		const decoded: string[] = [];
		const leftOut: unknown[] = [];
		const cache = createStoreCache({
			decodeConfiguration: () => expect.fail('no configuration is read'),
			decodeInstance(id) {
				decoded.push(id);
				return id === 'odd' ? undefined : {...instance, id};
			},
			onFleet: ignore,
			log: {
				debug: ignore,
				info: ignore,
				warn(fields) {
					leftOut.push(typeof fields === 'function' ? fields() : fields);
				},
			},
		});
		return {
			decoded, leftOut, update(versions: Readonly<Record<string, number>>) {
				cache.updateTable('instances', createInstanceTable(versions));
				return cache.listInstances().map(({id}) => id);
			},
		};
	};

	// Guards against an entry of another writer that keeps the host from knowing the instances.
	it('lists the others beside an entry that describes no instance, and logs each version of that entry once', () => {
		const {leftOut, update} = createCache();
		expect(update({'i-1': 1, odd: 2, 'i-2': 3})).to.deep.equal(['i-1', 'i-2']);
		expect(update({'i-1': 4, odd: 2, 'i-2': 3})).to.deep.equal(['i-1', 'i-2']);
		expect(leftOut).to.deep.equal([{id: 'odd', version: 2, length: 3}]);
		expect(update({'i-1': 4, odd: 5, 'i-2': 3})).to.deep.equal(['i-1', 'i-2']);
		expect(leftOut).to.have.length(2);
	});

	it('decodes only rows that have changed', () => {
		const {decoded, update} = createCache();
		update({'i-1': 1, 'i-2': 2});
		update({'i-1': 3, 'i-2': 2});
		expect(update({'i-1': 3})).to.deep.equal(['i-1']);
		expect(decoded).to.deep.equal(['i-1', 'i-2', 'i-1']);
	});
});

describe('createStoreCache, for evacuated zones', () => {
	const createZoneTable = (keys: readonly string[], at: number): CachedTable => {
		const rows = new Map(keys.map(key => [key, {key, value: '{}', version: 7}]));
		return {
			rows, version: 9, mark: findTableMark(rows), confirmedAt: {steady: at, wall: at}, reader: 'a1',
		};
	};

	it('tells the zones that the rows name, and when the store confirmed the rows before', () => {
		const told: unknown[] = [];
		const cache = createStoreCache({
			decodeConfiguration: () => expect.fail('no configuration is read'),
			decodeInstance: ignore,
			decodeEvacuatedZone: key => key.startsWith('evacuate/') ? key.slice(9) : undefined,
			onEvacuations(zones, confirmedBefore) {
				told.push([zones, confirmedBefore?.steady]);
			},
			onFleet: ignore,
			log: {debug: ignore, info: ignore, warn: ignore},
		});
		cache.updateTable('configuration', createZoneTable(['other'], 100));
		const evacuated = createZoneTable(['evacuate/a', 'other'], 200);
		cache.updateTable('configuration', evacuated);
		cache.updateTable('configuration', {...evacuated, confirmedAt: {steady: 250, wall: 250}});
		cache.updateTable('configuration', createZoneTable([], 300));
		expect(told).to.deep.equal([[[], undefined], [['a'], 100], [[], 250]]);
	});
});
