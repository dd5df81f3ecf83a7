import {expect} from 'chai';
import {createGroupInstances} from './create-group-instances.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {ListedInstance} from './listed-instance.ts';

const createListed = (id: string, listed: Partial<ListedInstance> = {}): ListedInstance => ({
	id, group: 'pondbook', host: '127.0.0.1', port: 5000, zone: 'a', slots: 5, isDeparting: false, role: 'replica', ...listed,
});
const both = ['i-a', 'i-b'].map(id => createListed(id));
const required = {term: 1, position: 0n};

/** Creates the instances as host `a1` uses them, of which those named `x-…` do not answer, a clock, and counters of its connections. */
function createInstances(gatewayNames: readonly string[], evacuatedZone = '') {
	const time = {now: 0};
	const known: {primary: string; successor: string; copies: NonNullable<GroupRow['copies']>} = {primary: 'i-a', successor: '', copies: []};
	const warnings: unknown[] = [];
	let opened = 0;
	let closed = 0;
	const instances = createGroupInstances({
		group: 'pondbook',
		zone: 'a',
		async openConnection({id}) {
			if (id.startsWith('x-')) {
				return {kind: 'unanswered'};
			}

			opened++;
			return {
				kind: 'opened',
				connection: {
					send: async () => ({kind: 'lost', reason: ''}),
					close() {
						closed++;
					},
					isClosed: () => false,
				},
			};
		},
		gateways: {self: 'a1', list: () => gatewayNames} as unknown as Gateways,
		findZonePhase: zone => zone === evacuatedZone ? 'leaving' : 'open',
		findRow: () => known,
		now: () => time.now,
		log: {
			info: () => undefined,
			warn(fields) {
				warnings.push(fields);
			},
		},
	});
	return {
		instances, time, known, warnings, countOpen: () => opened - closed,
	};
}

/** Opens a connection to instances, all of them by default, which shows that they answer. */
async function connect({find, list}: ReturnType<typeof createGroupInstances>, ids: readonly string[] = list().map(instance => instance.listed().id)) {
	for (const id of ids) {
		const pool = find(id)?.pool;
		const acquired = await pool?.acquire({workspace: 'upper', priority: 1, timeout: 50}); // eslint-disable-line no-await-in-loop -- one after another
		if (acquired?.kind === 'acquired') {
			pool?.release(acquired.connection, true);
		}
	}
}

describe(createGroupInstances.name, () => {
	const cases = [
		{
			name: 'keeps an instance that is unlisted for less than the grace period', elapsed: 2500, primary: '', isKept: true,
		},
		{
			name: 'drops an instance that stays unlisted', elapsed: 2501, primary: '', isKept: false,
		},
		{
			name: 'keeps the primary, however long it is unlisted', elapsed: 60_000, primary: 'i-b', isKept: true,
		},
		{
			name: 'drops a replica that stays unlisted', elapsed: 2501, primary: 'i-a', isKept: false,
		},
	];
	for (const {name, elapsed, primary, isKept} of cases) {
		it(name, () => {
			const {instances, time, known} = createInstances(['a1']);
			known.primary = primary;
			instances.update(both, 5);
			instances.update(both.slice(0, 1), 5);
			time.now = elapsed;
			instances.update(both.slice(0, 1), 5);
			expect(instances.missingSince('i-b')).to.equal(0);
			instances.step();
			expect(instances.list().map(instance => instance.listed().id)).to.deep.equal(isKept ? ['i-a', 'i-b'] : ['i-a']);
		});
	}

	// Guards against a failover that cannot ask a replica for its log which may alone hold acknowledged commits (review/12), and against statements that run there still.
	it('keeps no connection to a dropped instance whose log may hold acknowledged commits, and can ask it until it is not needed', async () => {
		const {instances, time, known, countOpen} = createInstances(['a1']);
		const listUnlisted = () => instances.listUnlisted().map(instance => instance.listed().id);
		known.copies = [{id: 'i-a'}, {id: 'i-b'}];
		instances.update(both, 5);
		await connect(instances);
		expect(countOpen()).to.equal(2);
		instances.update(both.slice(0, 1), 5);
		time.now = 2501;
		instances.step();
		expect(instances.list().map(instance => instance.listed().id)).to.deep.equal(['i-a']);
		expect([listUnlisted(), countOpen()]).to.deep.equal([['i-b'], 1]);
		const acquired = await instances.listUnlisted()[0]?.pool.acquire({workspace: 'upper', priority: 0, timeout: 50});
		expect([acquired?.kind, countOpen()]).to.deep.equal(['acquired', 2]);
		known.copies = [{id: 'i-a'}];
		instances.step();
		expect(listUnlisted()).to.deep.equal([]);
	});

	it('uses a dropped instance as before once the platform lists it again', () => {
		const {instances, time, known} = createInstances(['a1']);
		known.copies = [{id: 'i-b'}];
		instances.update(both, 5);
		instances.update(both.slice(0, 1), 5);
		time.now = 2501;
		instances.step();
		instances.update(both, 5);
		expect(instances.list()).to.have.length(2);
		expect(instances.listUnlisted()).to.deep.equal([]);
	});

	it('counts the grace period anew after the platform has listed the instance again', () => {
		const {instances, time} = createInstances(['a1']);
		instances.update(both, 5);
		instances.update([], 5);
		time.now = 2000;
		instances.update(both, 5);
		expect(instances.missingSince('i-b')).to.equal(undefined);
		instances.update([], 5);
		time.now = 4000;
		instances.step();
		expect(instances.list()).to.have.length(2);
	});

	it('lists no departing instance as a reader, and the nearest first', async () => {
		const {instances} = createInstances(['a1']);
		instances.update([createListed('i-c', {zone: 'c'}), createListed('i-d', {isDeparting: true}), ...both], 5);
		await connect(instances);
		const readers = instances.listReaders(required);
		expect(readers.map(instance => instance.listed().id)).to.deep.equal(['i-b', 'i-a', 'i-c']);
	});

	it('lists no reader in an evacuated zone, not even in the zone of the host', async () => {
		const {instances} = createInstances(['a1'], 'a');
		instances.update([createListed('i-c', {zone: 'c'}), ...both], 5);
		await connect(instances);
		expect(instances.listReaders(required).map(instance => instance.listed().id)).to.deep.equal(['i-c']);
	});

	it('lists no reader of a zone that a statement may not reach', async () => {
		const {instances} = createInstances(['a1']);
		instances.update([createListed('i-c', {zone: 'c'}), ...both], 5);
		await connect(instances);
		const readers = instances.listReaders(required, zone => zone !== 'a');
		expect(readers.map(instance => instance.listed().id)).to.not.include('i-a');
		expect(readers.map(instance => instance.listed().id)).to.include('i-c');
	});

	it('lists no reader in an allowed zone that is evacuated', async () => {
		const {instances} = createInstances(['a1'], 'a');
		instances.update([createListed('i-c', {zone: 'c'}), ...both], 5);
		await connect(instances);
		expect(instances.listReaders(required, zone => zone === 'a')).to.deep.equal([]);
	});

	const connections = [
		{
			name: 'keeps idle connections to an instance whose gateway is this host', gateways: ['a1'], elapsed: 2001, expected: 1,
		},
		{
			name: 'keeps idle connections to other instances for a while', gateways: ['b1'], elapsed: 1999, expected: 1,
		},
		{
			name: 'closes idle connections to other instances', gateways: ['b1'], elapsed: 2001, expected: 0,
		},
	];
	for (const {name, gateways, elapsed, expected} of connections) {
		it(name, async () => {
			const {instances, time, countOpen} = createInstances(gateways);
			instances.update(both, 5);
			await connect(instances, ['i-a']);
			time.now = elapsed;
			instances.step();
			expect(countOpen()).to.equal(expected);
		});
	}

	// Guards against hosts that run out of memory, or refuse every read, because the platform lists very many instances.
	describe('beside thousands of listed instances', () => {
		const foreign = Array.from({length: 10_000}, (_, index) => createListed(`x-${index}`));
		const listIds = (instances: ReturnType<typeof createGroupInstances>) => instances.list().map(instance => instance.listed().id);

		it('uses some of them, and says so once', () => {
			const {instances, warnings} = createInstances(['a1']);
			instances.update(foreign, 5);
			instances.update([...foreign, ...both], 5);
			instances.step();
			expect(instances.list()).to.have.length(100);
			expect(warnings).to.deep.equal([{group: 'pondbook', listed: 10_000, used: 100}]);
		});

		it('goes on using the instances that it used before', () => {
			const {instances} = createInstances(['a1']);
			instances.update(both, 5);
			instances.update([...foreign, ...both], 5);
			expect(listIds(instances)).to.include.members(['i-a', 'i-b']);
		});

		it('uses the primary and the successor from the start', () => {
			const {instances, known} = createInstances(['a1']);
			known.successor = 'i-b';
			instances.update([...foreign, ...both], 5);
			expect(listIds(instances)).to.include.members(['i-a', 'i-b']);
		});

		it('takes any other one into use for a job of another host, and does not use more for long', () => {
			const {instances} = createInstances(['a1']);
			instances.update([...foreign, ...both], 5);
			expect(instances.find('x-9999')?.listed().id).to.equal('x-9999');
			instances.step();
			expect(instances.list()).to.have.length(100);
		});

		it('gives the place of one that has only failed to one that was not tried', async () => {
			const {instances} = createInstances(['a1']);
			instances.update([...foreign, ...both], 5);
			const instance = instances.find('x-0');
			await instance?.runLocally({kind: 'position', workspace: 'upper'}, () => true);
			expect(instance?.health().failures).to.equal(1);
			instances.step();
			expect(listIds(instances)).not.to.include('x-0');
			expect(instances.list()).to.have.length(100);
		});

		it('tries the instances that it used before, then the others one at a time', async () => {
			const {instances, time} = createInstances(['a1']);
			instances.update(both, 5);
			instances.update([...foreign, ...both], 5);
			const findFirst = () => instances.listReaders(required)[0]?.listed().id;
			expect(findFirst()).to.equal('i-b');
			await connect(instances, ['i-b']);
			expect(findFirst()).to.equal('i-b');
			time.now = 250;
			expect(findFirst()).to.match(/^x-/v);
			expect(findFirst()).to.equal('i-b');
		});

		it('lists one that was not tried first among the readers once in a while', () => {
			const {instances, time} = createInstances(['a1']);
			instances.update([...foreign, ...both], 5);
			const findFirst = () => instances.listReaders(required)[0]?.listed().id;
			expect(findFirst()).to.match(/^x-/v);
			expect(findFirst()).to.equal('i-a');
			time.now = 250;
			expect(findFirst()).to.match(/^x-/v);
		});
	});
});
