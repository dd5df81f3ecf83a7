import type {Cluster} from '../stand-ins/cluster/cluster.ts';

/** Reads the CPU seconds that all entry hosts have used so far. */
export async function readHostCpu(cluster: Cluster): Promise<number> {
	const seconds = await Promise.all(cluster.hosts.map(async host => readMetric(cluster.operatorUrl(host))));
	return seconds.reduce((sum, value) => sum + value, 0);
}

async function readMetric(address: string): Promise<number> {
	const response = await fetch(new URL('/metrics', address));
	const text = await response.text();
	return Number(/^process_cpu_seconds_total (?<value>\S+)/mv.exec(text)?.groups?.['value'] ?? 0);
}
