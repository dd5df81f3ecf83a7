import type {Cluster} from '../stand-ins/cluster/cluster.ts';

/** Reads a metric and sums it over all its labels and over the named hosts, by default all hosts of the cluster. */
export async function readMetric(
	cluster: Cluster,
	{name, hosts = cluster.hosts}: {readonly name: string; readonly hosts?: readonly string[]},
): Promise<number> {
	const sums = await Promise.all(hosts.map(async host => {
		const response = await fetch(new URL('/metrics', cluster.operatorUrl(host)));
		return sumLines(await response.text(), name);
	}));
	return sums.reduce((sum, value) => sum + value, 0);
}

function sumLines(text: string, name: string): number {
	return text.split('\n')
		.filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
		.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' '))), 0);
}
