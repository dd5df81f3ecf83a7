import {createHash, randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {AddKeySchema, SetWorkspaceSchema, type ChangeRequest} from '@sapphirefall/wire';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {probeKey} from './probe-key.ts';
import type {Deployment} from './deployment.ts';

type Options = {
	readonly hostsPerZone: number;
	/** Settings of hosts that differ from the defaults. */
	readonly host: Readonly<Record<string, unknown>>;
	/** Milliseconds that a batch occupies a slot of an instance. */
	readonly serviceTime: number;
};

/** Units a second that the workspace of the overhead measurement may use. */
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
	const [host = ''] = cluster.hosts;
	const send = async (change: ChangeRequest['change']) => {
		await cluster.operator(host).change({changeId: randomUUID(), change});
	};

	const probe = {
		name: 'probe', key: probeKey, rate: probeRate, burst: probeRate, database: deployment.databases[0] ?? '',
	};
	for (const {
		name, key, rate, burst, database,
	} of [probe, ...deployment.workspaces]) {
		// eslint-disable-next-line no-await-in-loop -- one change after the other
		await send({
			case: 'setWorkspace', value: create(SetWorkspaceSchema, {
				workspace: name, rate, burst, databases: [database],
			}),
		});
		const digest = createHash('sha256').update(key).digest('hex');
		// eslint-disable-next-line no-await-in-loop -- one change after the other
		await send({case: 'addKey', value: create(AddKeySchema, {workspace: name, keyId: `key-${name}`, digest})});
	}

	return cluster;
}
