import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {openConnection} from '@sapphirefall/endpoints';
import {ReadSchema} from '@sapphirefall/wire';
import type {CallerStream} from '../stand-ins/cluster/caller-stream.ts';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {probeKey} from './probe-key.ts';
import {readMetric} from './read-metric.ts';
import type {Deployment} from './deployment.ts';

/** Cost of a read that a host forwards, by one protocol. */
type PathCost = {
	/** Median latency of a read that accepts data up to 10 s old, divided by that of the same read sent straight to the replica. */
	readonly latencyRatio: number;
	readonly medianMs: number;
	/** CPU time that hosts use for a request, in microseconds, above their use when idle. */
	readonly cpuMicroseconds: number;
};

type Overhead = {
	/** Median latency of the read sent straight to the replica over an open connection, in milliseconds. */
	readonly directMs: number;
	/** One unary call per request, over HTTP/1.1. */
	readonly unary: PathCost;
	/** One open stream for all requests. */
	readonly stream: PathCost;
};

const cpuMetric = 'process_cpu_seconds_total';

/** Requests sent to warm up the processes before measuring. */
const warmUpRequests = 1500;

const sampleCount = 3000;

/** Requests in flight at a time. */
const concurrency = 8;

/** Period over which the CPU use of idle hosts is measured, in milliseconds. */
const idlePeriodMs = 3000;

/** Measures the overhead of a host on a read, compared with the same read sent straight to the replica in the same run. */
export async function measureOverhead(cluster: Cluster, deployment: Deployment): Promise<Overhead> {
	const [database = ''] = deployment.databases;
	const directMs = await measureDirect(cluster.instanceUrl(`${database}-b`));
	const request: Parameters<CallerStream['execute']>[0] = {
		database,
		statements: [createStatement('SELECT 1')],
		kind: {case: 'read', value: create(ReadSchema, {freshness: 'within 10s'})},
	};
	const stream = cluster.openStream('host-b1', probeKey);
	const idleBefore = await readMetric(cluster, {name: cpuMetric});
	await sleep(idlePeriodMs);
	const idleShare = (await readMetric(cluster, {name: cpuMetric}) - idleBefore) / idlePeriodMs;

	const measurePath = async (caller: Pick<CallerStream, 'execute'>): Promise<PathCost> => {
		const read = async () => {
			const {answer} = await caller.execute(request);
			if (answer.case !== 'done') {
				throw new Error(`read through host-b1 failed: ${answer.value?.reason}`);
			}
		};

		await measureMedian(read, warmUpRequests);
		const before = await readMetric(cluster, {name: cpuMetric});
		const startedAt = performance.now();
		const medianMs = await measureMedian(read, sampleCount);
		const elapsed = performance.now() - startedAt;
		const used = await readMetric(cluster, {name: cpuMetric}) - before - (idleShare * elapsed);
		return {latencyRatio: medianMs / directMs, medianMs, cpuMicroseconds: used * 1e6 / sampleCount};
	};

	const unary = await measurePath(cluster.caller('host-b1', probeKey));
	const streamed = await measurePath(stream);
	stream.close();
	return {directMs, unary, stream: streamed};
}

async function measureDirect(address: string): Promise<number> {
	const connection = await openConnection(address, {
		heartbeatInterval: 400, silenceLimit: 5000, now: () => performance.now(), onClosed: () => undefined,
	});
	const {signal} = new AbortController();
	const median = await measureMedian(async () => {
		await connection.run({
			term: 1, isReadOnly: true, step: 'whole', statements: [{sql: 'SELECT 1', parameters: []}],
		}, signal);
	}, sampleCount / 2, 1);
	connection.close();
	return median;
}

/** Returns the median time of a task, in milliseconds, over `count` runs of which `parallelism` run at a time. */
async function measureMedian(task: () => Promise<void>, count: number, parallelism = concurrency): Promise<number> {
	const times: number[] = [];
	const runWorker = async () => {
		while (times.length < count) {
			const startedAt = performance.now();
			await task(); // eslint-disable-line no-await-in-loop -- each worker runs one task at a time
			times.push(performance.now() - startedAt);
		}
	};

	await Promise.all(Array.from({length: parallelism}, async () => runWorker()));
	return times.toSorted((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0;
}
