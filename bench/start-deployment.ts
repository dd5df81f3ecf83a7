import {addWorkspace} from '../stand-ins/cluster/add-workspace.ts';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {probeKey} from './probe-key.ts';
import type {Deployment} from './deployment.ts';

type Options = {
	readonly hostsPerZone: number;
	/** Settings of hosts that differ from the defaults. */
	readonly host: Readonly<Record<string, unknown>>;
	/** Time for which a batch occupies a slot of an instance, in milliseconds. */
	readonly serviceTime: number;
};

/** Units per second of the workspace that measures overhead; high enough not to limit it. */
const probeRate = 1_000_000;

/** Starts a deployment's processes and configures its workspaces and keys. */
export async function startDeployment(deployment: Deployment, options: Options): Promise<Cluster> {
	const cluster = await startCluster({
		zones: ['a', 'b', 'c'],
		hostsPerZone: options.hostsPerZone,
		databases: deployment.databases,
		zoneDelay: deployment.zoneDelay,
		zoneJitter: 1,
		zoneLoss: 0.001,
		host: options.host,
		endpoint: {
			slots: deployment.slots, connectionLimit: deployment.connectionLimit, lag: 20, serviceTime: options.serviceTime,
		},
		seed: 1,
	});
	const probe = {
		name: 'probe', key: probeKey, rate: probeRate, burst: probeRate, database: deployment.databases[0] ?? '',
	};
	for (const workspace of [probe, ...deployment.workspaces]) {
		await addWorkspace(cluster, workspace); // eslint-disable-line no-await-in-loop -- configuration changes are made one at a time
	}

	return cluster;
}
