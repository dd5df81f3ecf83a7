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

/** What a way through a host costs. */
type Way = {
	/** Median milliseconds of a patient read, over that of the same read straight to the replica. */
	readonly latencyRatio: number;
	readonly medianMs: number;
	/** Microseconds of CPU that hosts use for a request, above what they use idle. */
	readonly cpuMicroseconds: number;
};

type Overhead = {
	/** Median milliseconds of the read straight to the replica, over a connection that is open. */
	readonly directMs: number;
	/** A call for each request, over HTTP/1.1. */
	readonly unary: Way;
	/** One open stream for all requests. */
	readonly stream: Way;
};

const cpuMetric = 'process_cpu_seconds_total';

/** Requests that warm the processes up before figures are taken. */
const warmUp = 1500;

const samples = 3000;

/** Requests under way at a time. */
const concurrency = 8;

/** Milliseconds over which the CPU of idle hosts is measured. */
const idleSpan = 3000;

/** Measures what a host adds to a read, against the same read sent straight to the replica in the same run. */
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
	await sleep(idleSpan);
	const idleShare = (await readMetric(cluster, {name: cpuMetric}) - idleBefore) / idleSpan;

	const measureWay = async (caller: Pick<CallerStream, 'execute'>): Promise<Way> => {
		const read = async () => {
			const {answer} = await caller.execute(request);
			if (answer.case !== 'done') {
				throw new Error(`A read was not done: ${answer.value?.reason}`);
			}
		};

		await sample(read, warmUp);
		const before = await readMetric(cluster, {name: cpuMetric});
		const startedAt = performance.now();
		const medianMs = await sample(read, samples);
		const elapsed = performance.now() - startedAt;
		const used = await readMetric(cluster, {name: cpuMetric}) - before - (idleShare * elapsed);
		return {latencyRatio: medianMs / directMs, medianMs, cpuMicroseconds: used * 1e6 / samples};
	};

	const unary = await measureWay(cluster.caller('host-b1', probeKey));
	const streamed = await measureWay(stream);
	stream.close();
	return {directMs, unary, stream: streamed};
}

async function measureDirect(address: string): Promise<number> {
	const connection = await openConnection(address, {
		heartbeatInterval: 400, silenceLimit: 5000, now: () => performance.now(), onClosed: () => undefined,
	});
	const {signal} = new AbortController();
	const median = await sample(async () => {
		await connection.run({
			term: 1, isReadOnly: true, step: 'whole', statements: [{sql: 'SELECT 1', parameters: []}],
		}, signal);
	}, samples / 2, 1);
	connection.close();
	return median;
}

/** Returns the median milliseconds of a task that is run so many times, some at a time. */
async function sample(task: () => Promise<void>, count: number, width = concurrency): Promise<number> {
	const times: number[] = [];
	const runSome = async () => {
		while (times.length < count) {
			const startedAt = performance.now();
			await task(); // eslint-disable-line no-await-in-loop -- one after the other
			times.push(performance.now() - startedAt);
		}
	};

	await Promise.all(Array.from({length: width}, async () => runSome()));
	return times.toSorted((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0;
}
