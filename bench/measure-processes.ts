import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {fitLine} from './fit-line.ts';
import {readMetric} from './read-metric.ts';

const cpuMetric = 'process_cpu_seconds_total';
const memoryMetric = 'process_resident_memory_bytes';

const idlePeriodMs = 4000;

async function startIdleCluster(databases: number, hostsPerZone: number): Promise<Cluster> {
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

/** Measures the share of a core that an idle host uses, and the reads and writes per second that the platform receives. */
async function measureIdle(databases: number, hostsPerZone: number) {
	const cluster = await startIdleCluster(databases, hostsPerZone);
	try {
		await sleep(2000);
		const before = await readMetric(cluster, {name: cpuMetric});
		const counted = await cluster.platform.setFault({});
		await sleep(idlePeriodMs);
		const after = await cluster.platform.setFault({});
		const used = await readMetric(cluster, {name: cpuMetric}) - before;
		return {
			share: used * 1000 / idlePeriodMs / cluster.hosts.length,
			reads: (after.reads - counted.reads) * 1000 / idlePeriodMs,
			writes: (after.writes - counted.writes) * 1000 / idlePeriodMs,
		};
	} finally {
		await cluster.stop();
	}
}

/** Measures the memory, in bytes, that a host uses per idle connection of a caller. */
async function measureConnections() {
	const cluster = await startIdleCluster(1, 1);
	const sockets: Socket[] = [];
	const points: Array<[number, number]> = [];
	try {
		const {port} = new URL(cluster.callerUrl('host-a1'));
		await sleep(1000);
		for (const count of [0, 1000, 2000, 3000]) {
			while (sockets.length < count) {
				sockets.push(connect(Number(port), '127.0.0.1'));
			}

			await sleep(1000); // eslint-disable-line no-await-in-loop -- lets the host accept the connections
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

/** Measures the cost of idle hosts by number of databases and of hosts, and the memory of callers' connections. */
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
