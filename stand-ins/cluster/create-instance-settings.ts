import path from 'node:path';
import type {ClusterNode} from './cluster-node.ts';

type Options = {
	/** All instances of the group; the first one starts as the primary. */
	readonly group: readonly ClusterNode[];
	/** Directory of the journals. */
	readonly directory: string;
	/** Finds the URL at which a zone reaches a process. */
	readonly findAddress: (from: string, id: string) => string;
};

/** Creates the settings of an endpoint instance of the cluster. */
export function createInstanceSettings({id, zone, port}: ClusterNode, {group, directory, findAddress}: Options) {
	const [first] = group;
	return {
		id,
		port,
		journalFile: path.join(directory, `${id}.journal`),
		routes: Object.fromEntries(group.map(other => [other.id, findAddress(zone, other.id)])),
		...(first?.id === id ? {} : {primary: findAddress(zone, first?.id ?? '')}),
	};
}
