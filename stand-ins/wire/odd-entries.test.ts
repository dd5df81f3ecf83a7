/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {repeatWrites} from './repeat-writes.ts';
import {sendStatement} from './send-statement.ts';
import {startWireCallers} from './start-wire-callers.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds for which callers use the hosts beside the odd rows. Without a configuration that can be decoded, a key is accepted for 4600 ms. */
const usesMs = {rows: 4000, configuration: 3000};

/** Milliseconds within which a change in the store is in force on all hosts, as in the hosts' settings. */
const configurationLimitMs = 3000;

/** Milliseconds within which writes succeed again after a primary has stopped answering. */
const writeGapLimitMs = 3500;

/** Milliseconds within which a host writes its registration again. */
const registrationLimitMs = 2000;

/** Milliseconds between two statements of a caller. */
const pauseMs = 20;

/** Operations a second of the workspace, more than the callers send together, so that none is refused for the rate. */
const ratePerSecond = 1000;

const deeplyNested = '['.repeat(20_000) + ']'.repeat(20_000);
const manyDigits = `1${'0'.repeat(400)}`;

const entry = {
	backend: 'pondbook', address: '127.0.0.1:9', zone: 'a', version: 'v1', capacity: 5, state: 'ready', warmup_ms: 0, db_role: 'replica', seq: 1,
};

/** Creates the text of an entry in which a field has a value that is given as JSON. */
function createText(field: string, json: string): string {
	return `${JSON.stringify({...entry, [field]: undefined}).slice(0, -1)},"${field}":${json}}`;
}

/** Odd entries of the list of instances, by key. */
const oddInstances: Readonly<Record<string, string>> = {
	'other-port': createText('address', '"127.0.0.1:84650"'),
	'other-short': JSON.stringify({
		backend: 'pondbook', address: '127.0.0.1:84650', zone: 'b', capacity: 5, state: 'ready', db_role: 'replica',
	}),
	'other-negative-port': createText('address', '"127.0.0.1:-1"'),
	'other-fraction': createText('address', '"127.0.0.1:80.5"'),
	'other-name': createText('address', '"localhost:80"'),
	'other-nested': deeplyNested,
	'other-nested-zone': createText('zone', deeplyNested),
	'other-number': createText('capacity', manyDigits),
	'other-infinite': createText('capacity', '1e999'),
	'other id': JSON.stringify(entry),
	['__proto__']: 'null',
	'other-bytes': '\u0000{',
};

const host = {
	name: 'other', zone: 'a', address: '127.0.0.1:9', incarnation: 1, leaseMs: 1800,
};

/** Odd rows of the hosts' own table, by key. */
const oddFleetRows: Readonly<Record<string, string>> = {
	'host/other': JSON.stringify({...host, address: '127.0.0.1:84650'}),
	'host/other-negative-port': JSON.stringify({
		...host, name: 'other-negative-port', zone: 'b', address: '127.0.0.1:-1',
	}),
	'host/other-address': JSON.stringify({
		...host, name: 'other-address', zone: 'c', address: {},
	}),
	'host/other-incarnation': JSON.stringify({...host, name: 'other-incarnation', incarnation: 1.5}),
	'host/other-lease': JSON.stringify({...host, name: 'other-lease', leaseMs: 1e15}),
	'host/other-name': JSON.stringify({...host, name: 'host-1'}),
	'host/other-nested': deeplyNested,
	'group/other': deeplyNested,
	'group/other-number': `{"epoch":${manyDigits},"state":"serving","primary":"i-a","successor":"","holder":"other","token":1e999}`,
	'rate-home/-1': 'null',
};

/** A configuration that the operators' store would not accept. */
const oddConfiguration: Readonly<Record<string, string>> = {
	config: `{"version":1000000,"routes":[{"database":"latest","backend":"pondbook","route_type":"primary","timeout_ms":${manyDigits}}],"services":${deeplyNested}}`,
};

/** Databases of the callers; reads of the second one run at replicas. */
const databases = ['latest', 'own'];

describe('hosts over the wire protocol, beside odd rows of other writers', () => {
	let deployment: WireDeployment;

	const cases = [
		{
			name: 'the list of instances', table: 'servers', rows: oddInstances, useMs: usesMs.rows,
		},
		{
			name: 'the table of the fleet', table: 'sapphirefall', rows: oddFleetRows, useMs: usesMs.rows,
		},
		{
			name: 'the configuration', table: 'op', rows: oddConfiguration, useMs: usesMs.configuration,
		},
	];
	for (const {name, table, rows, useMs} of cases) {
		describe(`in ${name}`, () => { // eslint-disable-line @typescript-eslint/no-loop-func -- `before` sets the deployment of each case
			let results: readonly string[] = [];

			before(async () => {
				deployment = await startWireDeployment({hostCount: 3, lag: 40, ratePerSecond});
				await deployment.waitUntilReady();
				expect(await repeatWrites(deployment.hosts, {limitMs: 5000})).to.be.below(5000);
				const callers = startWireCallers(deployment.hosts, {databases, pauseMs});
				for (const [key, text] of Object.entries(rows)) {
					deployment.store.putText(table, key, text);
				}

				await sleep(useMs);
				results = await callers.stop();
			});

			after(() => {
				deployment.stop();
			});

			// Guards against an entry of another writer that ends the processes of the hosts again and again.
			it('ends no process and leaves no statement without an answer', () => {
				expect(deployment.hosts.map(({process}) => process.exitCode)).to.deep.equal(deployment.hosts.map(() => null));
				expect(results.length).to.be.above(deployment.hosts.length * useMs / (10 * pauseMs));
				expect(results.filter(result => !result.startsWith('COMPLETE'))).to.deep.equal([]);
			});

			const expectOneLineForEachRow = () => {
				for (const host of deployment.hosts) {
					const lines = host.output().split('\n').filter(line => /store: The host leaves out an? (?:entry|row)|configuration: The host cannot decode/v.test(line));
					expect(lines, host.name).to.have.length(Object.keys(rows).length);
				}
			};

			it('logs each odd row once on each host', expectOneLineForEachRow);

			// Guards against a host that stops following the store because of a row that it cannot read.
			it('applies a later configuration', async () => {
				deployment.configure({keys: ['good', 'later']});
				expect(await repeatWrites(deployment.hosts, {key: 'later', limitMs: configurationLimitMs})).to.be.below(configurationLimitMs);
			});

			// Guards against odd rows that keep the hosts from replacing a primary, for which all instances are asked.
			it('replaces a primary that has stopped answering', async () => {
				deployment.instances[0]?.stopAnswering();
				expect(await repeatWrites(deployment.hosts, {limitMs: 2 * writeGapLimitMs})).to.be.below(writeGapLimitMs);
				expect(deployment.promotions()).to.have.length(1);
				expect(deployment.hosts.map(({process}) => process.exitCode)).to.deep.equal(deployment.hosts.map(() => null));
			});

			// Guards against a failover that logs each odd row again with each of its reads.
			it('has logged each odd row once after the failover, too', expectOneLineForEachRow);
		});
	}

	describe('in place of a row of the hosts', () => {
		before(async () => {
			deployment = await startWireDeployment({hostCount: 3, lag: 40, ratePerSecond});
			await deployment.waitUntilReady();
			expect(await repeatWrites(deployment.hosts, {limitMs: 5000})).to.be.below(5000);
		});

		after(() => {
			deployment.stop();
		});

		const texts = [deeplyNested, '{}', JSON.stringify({...host, name: 'host-1', address: '127.0.0.1:84650'})];
		/* eslint-disable @typescript-eslint/no-loop-func -- `before` sets the deployment */
		for (const text of texts) {
			// Guards against a registration that others have overwritten and that the host takes for its own, or never writes again.
			it(`registers a host again whose row has become ${text.slice(0, 20)}`, async () => {
				const readIncarnation = () => (deployment.store.read('sapphirefall', 'host/host-1') as {readonly incarnation?: unknown}).incarnation;
				const incarnation = readIncarnation();
				deployment.store.putText('sapphirefall', 'host/host-1', text);
				await sleep(registrationLimitMs);
				expect(readIncarnation()).to.be.a('number').that.equals(incarnation);
				expect(await repeatWrites(deployment.hosts, {limitMs: registrationLimitMs})).to.be.below(registrationLimitMs);
			});
		}

		for (const key of ['duty', 'rate-home/0', 'group/pondbook']) {
			// Guards against a row that others have overwritten and that ends the processes of all hosts.
			it(`goes on running while ${key} cannot be read`, async () => {
				deployment.store.putText('sapphirefall', key, deeplyNested);
				await sleep(registrationLimitMs);
				await sendStatement({port: deployment.hosts[0]?.port ?? 0, text: 'READ pond'});
				expect(deployment.hosts.map(({process}) => process.exitCode)).to.deep.equal(deployment.hosts.map(() => null));
			});
		}
		/* eslint-enable @typescript-eslint/no-loop-func */
	});
});
