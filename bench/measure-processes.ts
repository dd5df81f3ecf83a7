import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {fitLine} from './fit-line.ts';
import {readMetric} from './read-metric.ts';

const cpuMetric = 'process_cpu_seconds_total';
const memoryMetric = 'process_resident_memory_bytes';

const idleSpan = 4000;

async function start(databases: number, hostsPerZone: number): Promise<Cluster> {
	return startCluster({
		zones: ['a', 'b', 'c'],
		hostsPerZone,
		databases: Array.from({length: databases}, (_, index) => `database-${index}`),
		zoneDelay: 0,
		zoneJitter: 0,
		zoneLoss: 0,
		host: {},
		endpoint: {},
		seed: 1,
	});
}

/** Measures the share of a core that an idle host uses, and the platform's reads and writes a second. */
async function measureIdle(databases: number, hostsPerZone: number) {
	const cluster = await start(databases, hostsPerZone);
	try {
		await sleep(2000);
		const before = await readMetric(cluster, {name: cpuMetric});
		const counted = await cluster.platform.setFault({});
		await sleep(idleSpan);
		const after = await cluster.platform.setFault({});
		const used = await readMetric(cluster, {name: cpuMetric}) - before;
		return {
			share: used * 1000 / idleSpan / cluster.hosts.length,
			reads: (after.reads - counted.reads) * 1000 / idleSpan,
			writes: (after.writes - counted.writes) * 1000 / idleSpan,
		};
	} finally {
		await cluster.stop();
	}
}

/** Measures the memory that idle callers' connections take in a host. */
async function measureConnections() {
	const cluster = await start(1, 1);
	const sockets: Socket[] = [];
	const points: Array<[number, number]> = [];
	try {
		const {port} = new URL(cluster.callerUrl('host-a1'));
		await sleep(1000);
		for (const count of [0, 1000, 2000, 3000]) {
			while (sockets.length < count) {
				sockets.push(connect(Number(port), '127.0.0.1'));
			}

			await sleep(1000); // eslint-disable-line no-await-in-loop -- the host takes its time
			points.push([count, await readMetric(cluster, {name: memoryMetric, hosts: ['host-a1']})]); // eslint-disable-line no-await-in-loop
		}

		return {points, ...fitLine(points)};
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		await cluster.stop();
	}
}

/** Measures what idle hosts cost, by databases and by hosts, and what connections of callers take. */
export async function measureProcesses() {
	const oneDatabase = await measureIdle(1, 1);
	const fourDatabases = await measureIdle(4, 1);
	const nineHosts = await measureIdle(1, 3);
	return {
		oneDatabaseThreeHosts: oneDatabase,
		fourDatabasesThreeHosts: fourDatabases,
		oneDatabaseNineHosts: nineHosts,
		coreSharePerDatabase: (fourDatabases.share - oneDatabase.share) / 3,
		connections: await measureConnections(),
	};
}
