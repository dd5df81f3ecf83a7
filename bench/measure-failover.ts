import {setTimeout as sleep} from 'node:timers/promises';
import {parseEvent, ticksPerMs} from '@sapphirefall/events';
import {addWorkspace} from '../stand-ins/cluster/add-workspace.ts';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {PrimaryFault} from './primary-fault.ts';

/** What one failover took, in milliseconds from the fault. */
type Failover = {
	readonly suspected: number;
	readonly fenced: number;
	readonly promoted: number;
	/** Longest time without an acknowledged write. */
	readonly writeGapMs: number;
};

const key = 'Key-Of-Writer';
const zones = ['a', 'b', 'c'];
const writeInterval = 20;
const settleTimeout = 20_000;

/** Measures failovers of one kind, one after the other, under a steady load of writes. */
export async function measureFailover(
	kind: PrimaryFault,
	options: {readonly zoneDelay: number; readonly rounds: number},
): Promise<readonly Failover[]> {
	const cluster = await startCluster({
		zones,
		hostsPerZone: 1,
		databases: ['pondbook'],
		zoneDelay: options.zoneDelay,
		zoneJitter: 2,
		zoneLoss: 0.01,
		host: {},
		endpoint: {},
		seed: 3,
	});
	const acknowledged: number[] = [];
	const writer = {isStopped: false};
	try {
		await configure(cluster);
		const writing = writeSteadily(cluster, {acknowledged, writer});
		const failovers: Failover[] = [];
		for (let round = 0; round < options.rounds; round++) {
			failovers.push(await failOnce(cluster, {kind, acknowledged})); // eslint-disable-line no-await-in-loop
		}

		writer.isStopped = true;
		await writing;
		return failovers;
	} finally {
		await cluster.stop();
	}
}

async function configure(cluster: Cluster): Promise<void> {
	await addWorkspace(cluster, {
		name: 'writer', key, rate: 100_000, burst: 100_000, database: 'pondbook',
	});
	await sleep(1500);
	await cluster.caller('host-a1', key).execute({
		database: 'pondbook',
		statements: [createStatement('CREATE TABLE entry (id TEXT)')],
		kind: {case: 'write', value: {idempotencyKey: 'table', repeatable: false}},
	});
}

async function writeSteadily(
	cluster: Cluster,
	{acknowledged, writer}: {readonly acknowledged: number[]; readonly writer: {readonly isStopped: boolean}},
): Promise<void> {
	const callers = cluster.hosts.map(host => cluster.caller(host, key));
	const running = new Set<Promise<void>>();
	const write = async (count: number) => {
		const response = await callers[count % callers.length]?.execute({
			database: 'pondbook',
			statements: [createStatement('INSERT INTO entry VALUES (?)', [`e${count}`])],
			kind: {case: 'write', value: {idempotencyKey: `e${count}`, repeatable: false}},
		});
		if (response?.answer.case === 'done') {
			acknowledged.push(Date.now());
		}
	};

	for (let count = 0; !writer.isStopped; count++) {
		const task = write(count).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		running.add(task);
		void task.finally(() => running.delete(task)); // eslint-disable-line promise/prefer-await-to-then
		await sleep(writeInterval); // eslint-disable-line no-await-in-loop -- the load is steady
	}

	await Promise.allSettled(running);
}

async function failOnce(
	cluster: Cluster,
	{kind, acknowledged}: {readonly kind: PrimaryFault; readonly acknowledged: readonly number[]},
): Promise<Failover> {
	const primary = await waitForHealth(cluster);
	await sleep(500);
	const failedAt = Date.now();
	inflict(cluster, {kind, primary});
	await sleep(2500);
	repair(cluster, {kind, primary});
	const times = [...acknowledged].filter(time => time >= failedAt - 500).toSorted((a, b) => a - b);
	const writeGapMs = Math.max(0, ...times.map((time, index) => time - (times[index - 1] ?? time)));
	return {
		suspected: findStep(cluster, {step: 'suspected', since: failedAt}),
		fenced: findStep(cluster, {step: 'fenced', since: failedAt}),
		promoted: findStep(cluster, {step: 'promoted', since: failedAt}),
		writeGapMs,
	};
}

function inflict(cluster: Cluster, {kind, primary}: {readonly kind: PrimaryFault; readonly primary: string}): void {
	switch (kind) {
		case 'kill': {
			cluster.child(primary).signal('SIGKILL');
			break;
		}

		case 'freeze': {
			cluster.child(primary).signal('SIGSTOP');
			break;
		}

		case 'cut': {
			for (const zone of zones) {
				cluster.setFault(zone, primary, {isCut: true});
			}

			break;
		}
	}
}

function repair(cluster: Cluster, {kind, primary}: {readonly kind: PrimaryFault; readonly primary: string}): void {
	switch (kind) {
		case 'kill': {
			cluster.restart(primary);
			break;
		}

		case 'freeze': {
			cluster.child(primary).signal('SIGCONT');
			break;
		}

		case 'cut': {
			for (const zone of zones) {
				cluster.setFault(zone, primary, {isCut: false});
			}

			break;
		}
	}
}

/** Finds when the first host took a step of failover, in milliseconds from the fault; -1 when none did. */
function findStep(cluster: Cluster, {step, since}: {readonly step: string; readonly since: number}): number {
	const times = cluster.hosts
		.flatMap(host => cluster.child(host).readOutput().split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event?.kind === 'failover-step' && event.detail === step)
		.map(event => Number((event?.time ?? 0n) / ticksPerMs))
		.filter(time => time >= since);
	return times.length === 0 ? -1 : Math.min(...times) - since;
}

/** Waits until the group has one primary and two replicas in one term, as a host sees it; returns the primary. */
async function waitForHealth(cluster: Cluster): Promise<string> {
	const deadline = Date.now() + settleTimeout;
	while (Date.now() < deadline) {
		const status = await cluster.operator('host-b1').status({}); // eslint-disable-line no-await-in-loop
		const [group] = status.groups;
		const replicas = group?.instances.filter(text => text.includes(` replica ${group.term}/`)) ?? [];
		if (group !== undefined && replicas.length === 2) {
			return group.primary;
		}

		await sleep(50); // eslint-disable-line no-await-in-loop
	}

	throw new Error('The group did not become whole again');
}
