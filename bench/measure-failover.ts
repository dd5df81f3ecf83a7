import {setTimeout as sleep} from 'node:timers/promises';
import {parseEvent, ticksPerMs} from '@sapphirefall/events';
import {addWorkspace} from '../stand-ins/cluster/add-workspace.ts';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {PrimaryFault} from './primary-fault.ts';

/** Times of the steps of one failover, in milliseconds after the fault; -1 if a step did not happen. */
type FailoverTimes = {
	readonly suspected: number;
	readonly fenced: number;
	readonly promoted: number;
	/** Longest time between two acknowledged writes, in milliseconds. */
	readonly writeGapMs: number;
};

const key = 'Key-Of-Writer';
const zones = ['a', 'b', 'c'];
const writeIntervalMs = 20;

/** Greatest time in which the group must have all its instances back after a fault, in milliseconds. */
const recoveryTimeoutMs = 20_000;

/** Measures failovers after one kind of fault, one after the other, under a steady load of writes. */
export async function measureFailover(
	kind: PrimaryFault,
	options: {readonly zoneDelay: number; readonly rounds: number},
): Promise<readonly FailoverTimes[]> {
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
		await configureWorkspace(cluster);
		const writing = writeSteadily(cluster, {acknowledged, writer});
		const failovers: FailoverTimes[] = [];
		for (let round = 0; round < options.rounds; round++) {
			failovers.push(await runFailover(cluster, {kind, acknowledged})); // eslint-disable-line no-await-in-loop
		}

		writer.isStopped = true;
		await writing;
		return failovers;
	} finally {
		await cluster.stop();
	}
}

async function configureWorkspace(cluster: Cluster): Promise<void> {
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
		await sleep(writeIntervalMs); // eslint-disable-line no-await-in-loop -- writes start at a fixed interval
	}

	await Promise.allSettled(running);
}

async function runFailover(
	cluster: Cluster,
	{kind, acknowledged}: {readonly kind: PrimaryFault; readonly acknowledged: readonly number[]},
): Promise<FailoverTimes> {
	const primary = await waitForHealthyGroup(cluster);
	await sleep(500);
	const failedAt = Date.now();
	injectFault(cluster, {kind, primary});
	await sleep(2500);
	removeFault(cluster, {kind, primary});
	const times = [...acknowledged].filter(time => time >= failedAt - 500).toSorted((a, b) => a - b);
	const writeGapMs = Math.max(0, ...times.map((time, index) => time - (times[index - 1] ?? time)));
	return {
		suspected: findStepDelay(cluster, {step: 'suspected', since: failedAt}),
		fenced: findStepDelay(cluster, {step: 'fenced', since: failedAt}),
		promoted: findStepDelay(cluster, {step: 'promoted', since: failedAt}),
		writeGapMs,
	};
}

function injectFault(cluster: Cluster, {kind, primary}: {readonly kind: PrimaryFault; readonly primary: string}): void {
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
				cluster.setFault(zone, primary, {isPartitioned: true});
			}

			break;
		}
	}
}

function removeFault(cluster: Cluster, {kind, primary}: {readonly kind: PrimaryFault; readonly primary: string}): void {
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
				cluster.setFault(zone, primary, {isPartitioned: false});
			}

			break;
		}
	}
}

/** Finds when the first host reported a failover step, in milliseconds after the fault; -1 if none did. */
function findStepDelay(cluster: Cluster, {step, since}: {readonly step: string; readonly since: number}): number {
	const times = cluster.hosts
		.flatMap(host => cluster.child(host).readOutput().split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event?.kind === 'failover-step' && event.detail === step)
		.map(event => Number((event?.time ?? 0n) / ticksPerMs))
		.filter(time => time >= since);
	return times.length === 0 ? -1 : Math.min(...times) - since;
}

/** Waits until a host sees two replicas in the term of the group's primary, and returns the primary. */
async function waitForHealthyGroup(cluster: Cluster): Promise<string> {
	const deadline = Date.now() + recoveryTimeoutMs;
	while (Date.now() < deadline) {
		const status = await cluster.operator('host-b1').status({}); // eslint-disable-line no-await-in-loop
		const [group] = status.groups;
		const replicas = group?.instances.filter(text => text.includes(` replica ${group.term}/`)) ?? [];
		if (group !== undefined && replicas.length === 2) {
			return group.primary;
		}

		await sleep(50); // eslint-disable-line no-await-in-loop
	}

	throw new Error('database group did not get a primary and two replicas in one term before the time-out');
}
