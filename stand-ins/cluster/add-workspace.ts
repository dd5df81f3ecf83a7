import {createHash, randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {AddKeySchema, SetWorkspaceSchema, type ChangeRequest} from '@sapphirefall/wire';
import type {Cluster} from './cluster.ts';

type Workspace = {
	readonly name: string;
	/** Key with which callers of the workspace authenticate. */
	readonly key: string;
	/** Units per second. */
	readonly rate: number;
	/** Capacity of the token bucket, in units. */
	readonly burst: number;
	readonly database: string;
};

/** Adds a workspace and its key to the configuration of a cluster, through the first host. */
export async function addWorkspace(cluster: Cluster, workspace: Workspace): Promise<void> {
	const {
		name, key, rate, burst, database,
	} = workspace;
	const send = async (change: ChangeRequest['change']) => {
		await cluster.operator(cluster.hosts[0] ?? '').change({changeId: randomUUID(), change});
	};

	await send({
		case: 'setWorkspace', value: create(SetWorkspaceSchema, {
			workspace: name, rate, burst, databases: [database],
		}),
	});
	const digest = createHash('sha256').update(key).digest('hex');
	await send({case: 'addKey', value: create(AddKeySchema, {workspace: name, keyId: `key-${name}`, digest})});
}
