/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {repeatWrites} from './repeat-writes.ts';
import {startWireCallers} from './start-wire-callers.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Command-line argument of `deploy/system.toml` that limits a host's heap. */
const heapArgument = '--max-old-space-size=200';

/** Megabytes that the platform lets a process take. */
const memoryLimitMb = 350;

/** Milliseconds for which callers use the hosts beside the entries. */
const useMs = 5000;

/** Milliseconds until the positions of the primary are known everywhere, so that replicas serve reads. */
const settleMs = 1500;

/** Milliseconds between two changes of an entry that changes all the time. */
const changeIntervalMs = 10;

/** Milliseconds within which a change in the store is in force on all hosts, as in the hosts' settings. */
const configurationLimitMs = 3000;

/** Milliseconds within which writes succeed again after a primary has stopped answering. */
const writeGapLimitMs = 3500;

/** Milliseconds after which hosts have to serve again, whatever was lost; `bounds.recovery_s` of the users' settings. */
const recoveryLimitMs = 12_000;

/** Milliseconds within which a host that is ready serves writes. */
const startLimitMs = 2000;

/** Milliseconds between two statements of a caller. */
const pauseMs = 20;

/** Operations a second of the workspace, more than the callers send together, so that none is refused for the rate. */
const ratePerSecond = 1000;

const databases = ['latest', 'old', 'own'];

/** An entry of an instance at an address at which nobody listens. */
const entry = {
	backend: 'pondbook', address: '127.0.0.1:9', zone: 'a', version: 'v1', capacity: 5, state: 'ready', warmup_ms: 0, db_role: 'replica', seq: 1, born: 1,
};

type Deployment = Pick<WireDeployment, 'store' | 'instances'>;

const findZone = (index: number) => ['a', 'b', 'c'][index % 3] ?? '';

/** Writes entries in one transaction. */
function putEntries({store}: Deployment, count: number, create: (index: number) => object) {
	store.putTexts('servers', new Map(Array.from({length: count}, (_, index) => [`other-${index}`, JSON.stringify({...entry, ...create(index)})])));
}

/** Repeats a change; returns the function that ends it. */
function repeatChange(change: (number: number) => void): () => void {
	let number = 1;
	const timer = setInterval(() => {
		number++;
		change(number);
	}, changeIntervalMs);
	return () => {
		clearInterval(timer);
	};
}

type Case = {
	readonly name: string;
	readonly write: (deployment: Deployment) => (() => void) | void;
	/** Promotions of the only failover; 1 by default. */
	readonly maxPromotions?: number;
};

/** What others write, each entry as the platform's pages describe one; some end with a function that ends it. */
const cases: readonly Case[] = [
	{
		name: 'sixty instances that do not answer',
		write(deployment) {
			putEntries(deployment, 60, index => ({zone: findZone(index)}));
		},
	},
	{
		name: 'ten thousand instances that do not answer',
		write(deployment) {
			putEntries(deployment, 10_000, index => ({zone: findZone(index)}));
		},
	},
	{
		name: 'ten thousand instances of groups without a route',
		write(deployment) {
			putEntries(deployment, 10_000, index => ({backend: `other${index % 1000}`}));
		},
	},
	{
		name: 'a second entry for the address of each instance',
		write({store, instances}) {
			for (const [index, {id, port}] of instances.entries()) {
				store.put('servers', `other-${id}`, {
					...entry, zone: findZone(index), address: `127.0.0.1:${port}`, db_role: index === 1 ? 'primary' : 'replica',
				});
			}
		},
	},
	{
		name: 'an entry of an instance that changes 100 times a second',
		// It may be promoted, and is replaced in turn as it says that it is leaving.
		maxPromotions: 2,
		write: ({store, instances: [, replica]}) => repeatChange(number => {
			store.put('servers', replica?.id ?? '', {
				...entry, zone: 'b', address: `127.0.0.1:${replica?.port ?? 0}`, state: number % 2 === 0 ? 'draining' : 'ready', seq: number,
			});
		}),
	},
	{
		name: 'an entry that can be read every other time, and changes 100 times a second',
		write: ({store}) => repeatChange(number => {
			store.put('servers', 'other', {...entry, ...number % 2 === 0 && {address: number}});
		}),
	},
];

/** Reads the largest memory in megabytes that a process has taken. */
function readLargestMemory(pid: number): number {
	const [, kilobytes] = /VmHWM:\s+(\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
	return Number(kilobytes) / 1024;
}

describe('hosts over the wire protocol, beside absurd entries', () => {
	let deployment: WireDeployment;

	const listEnds = () => deployment.hosts.map(({process}) => process.exitCode ?? process.signalCode);

	for (const {name, write, maxPromotions = 1} of cases) {
		describe(name, () => { // eslint-disable-line @typescript-eslint/no-loop-func -- `before` sets the deployment of each case
			let results: readonly string[] = [];
			let end: (() => void) | void;

			before(async () => {
				deployment = await startWireDeployment({
					hostCount: 3, lag: 40, ratePerSecond, nodeArguments: [heapArgument],
				});
				await deployment.waitUntilReady();
				expect(await repeatWrites(deployment.hosts, {limitMs: 5000})).to.be.below(5000);
				const callers = startWireCallers(deployment.hosts, {databases, pauseMs});
				await sleep(settleMs);
				end = write(deployment);
				await sleep(useMs);
				results = await callers.stop();
			});

			after(() => {
				end?.();
				deployment.stop();
			});

			// Guards against hosts that run out of memory, or read only from instances that do not answer, because of what is listed.
			it('ends no process, refuses nothing, and takes no more memory than there is', () => {
				expect(listEnds()).to.deep.equal(deployment.hosts.map(() => null));
				expect(results.length).to.be.above(deployment.hosts.length * useMs / (10 * pauseMs));
				expect(results.filter(result => !result.startsWith('COMPLETE'))).to.deep.equal([]);
				for (const {process} of deployment.hosts) {
					expect(readLargestMemory(process.pid ?? 0)).to.be.below(memoryLimitMb);
				}
			});

			// Guards against hosts that are so busy with the list of instances that they follow nothing else.
			it('applies a later configuration', async () => {
				deployment.configure({keys: ['good', 'later']});
				expect(await repeatWrites(deployment.hosts, {key: 'later', limitMs: configurationLimitMs})).to.be.below(configurationLimitMs);
			});

			// Guards against a host that knows no instance of before and finds none of those that answer.
			it('serves from a host that starts beside them', async () => {
				await deployment.restart(1);
				const port = deployment.hosts[1]?.port ?? 0;
				expect(await repeatWrites([{port}], {limitMs: startLimitMs})).to.be.below(startLimitMs);
				const callers = startWireCallers([{port}], {databases, pauseMs});
				await sleep(settleMs);
				const started = await callers.stop();
				expect(started.filter(result => !result.startsWith('COMPLETE'))).to.deep.equal([]);
			});

			// Guards against a failover that asks all that is listed and never ends.
			it('replaces a primary that has stopped answering', async () => {
				deployment.instances[0]?.stopAnswering();
				expect(await repeatWrites(deployment.hosts, {limitMs: 2 * writeGapLimitMs})).to.be.below(writeGapLimitMs);
				expect(deployment.promotions()).to.have.length.within(1, maxPromotions);
				expect(listEnds()).to.deep.equal(deployment.hosts.map(() => null));
			});
		});
	}

	describe('in the table of the fleet', () => {
		before(async () => {
			deployment = await startWireDeployment({hostCount: 3, lag: 40, nodeArguments: [heapArgument]});
			await deployment.waitUntilReady();
			expect(await repeatWrites(deployment.hosts, {limitMs: 5000})).to.be.below(5000);
		});

		after(() => {
			deployment.stop();
		});

		// Guards against hosts that ask one dead host after the other for the configuration, and serve nothing meanwhile.
		it('serves beside ten thousand registrations of hosts that do not answer', async () => {
			deployment.store.putTexts('sapphirefall', new Map(Array.from({length: 10_000}, (_, index) => {
				const name = `other-${index}`;
				const row = {
					name, zone: findZone(index), address: '127.0.0.1:9', incarnation: 1, leaseMs: 1800,
				};
				return [`host/${name}`, JSON.stringify(row)];
			})));
			await sleep(recoveryLimitMs);
			expect(await repeatWrites(deployment.hosts, {limitMs: writeGapLimitMs})).to.be.below(writeGapLimitMs);
			expect(listEnds()).to.deep.equal(deployment.hosts.map(() => null));
		});
	});
});
