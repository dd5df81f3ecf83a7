import path from 'node:path';
import type {ClusterNode} from './cluster-node.ts';

type Options = {
	/** All instances of the group. The first one starts as the primary. */
	readonly group: readonly ClusterNode[];
	/** Directory for journal files. */
	readonly directory: string;
	/** Finds the URL at which a process is reached from a zone. */
	readonly findAddress: (from: string, id: string) => string;
};

/** Creates the settings file content of an endpoint instance. */
export function createInstanceSettings({id, zone, port}: ClusterNode, {group, directory, findAddress}: Options) {
	const [first] = group;
	return {
		id,
		port,
		journalFile: path.join(directory, `${id}.journal`),
		routes: Object.fromEntries(group.map(peer => [peer.id, findAddress(zone, peer.id)])),
		...(first?.id === id ? {} : {primary: findAddress(zone, first?.id ?? '')}),
	};
}
