import {openConnection} from '@sapphirefall/endpoints';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {readHostCpu} from './read-host-cpu.ts';
import type {Deployment} from './deployment.ts';

type Overhead = {
	/** Median milliseconds of a latest read through a host, over that of the same read straight to the primary. */
	readonly latencyRatio: number;
	readonly directMs: number;
	readonly throughHostMs: number;
	/** Microseconds of CPU that hosts use for a request, above what they use idle. */
	readonly cpuMicroseconds: number;
};

const samples = 400;

/** Milliseconds over which the CPU of idle hosts is measured. */
const idleSpan = 2000;

/** Measures what a host adds to a read, against the same read sent straight to the primary in the same run. */
export async function measureOverhead(cluster: Cluster, deployment: Deployment): Promise<Overhead> {
	const [workspace] = deployment.workspaces;
	const {database = '', key = ''} = workspace ?? {};
	const instance = `${database}-a`;
	const connection = await openConnection(cluster.instanceUrl(instance), {
		heartbeatInterval: 400, silenceLimit: 5000, now: () => performance.now(), onClosed: () => undefined,
	});
	const {signal} = new AbortController();
	const direct = await sample(async () => {
		await connection.run({
			term: 1, isReadOnly: true, step: 'whole', statements: [{sql: 'SELECT 1', parameters: []}],
		}, signal);
	});
	connection.close();

	const idleBefore = await readHostCpu(cluster);
	await new Promise(resolve => {
		setTimeout(resolve, idleSpan);
	});
	const idleCpu = await readHostCpu(cluster) - idleBefore;
	const caller = cluster.caller('host-a1', key);
	const before = await readHostCpu(cluster);
	const startedAt = performance.now();
	const through = await sample(async () => {
		await caller.execute({
			database,
			statements: [createStatement('SELECT 1')],
			kind: {case: 'read', value: {freshness: 'within 10s', kind: ''}},
		});
	});
	const elapsed = performance.now() - startedAt;
	const used = await readHostCpu(cluster) - before - (idleCpu * elapsed / idleSpan);
	return {
		latencyRatio: through / direct, directMs: direct, throughHostMs: through, cpuMicroseconds: used * 1e6 / samples,
	};
}

/** Returns the median milliseconds of a task. */
async function sample(task: () => Promise<void>): Promise<number> {
	const times: number[] = [];
	for (let count = 0; count < samples; count++) {
		const startedAt = performance.now();
		await task(); // eslint-disable-line no-await-in-loop -- one after the other
		times.push(performance.now() - startedAt);
	}

	return times.toSorted((a, b) => a - b)[Math.floor(samples / 2)] ?? 0;
}
