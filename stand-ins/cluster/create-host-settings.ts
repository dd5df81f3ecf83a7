import {createHash} from 'node:crypto';
import type {ClusterNode} from './cluster-node.ts';
import type {HostPorts} from './host-ports.ts';

type Options = {
	readonly ports: HostPorts;
	/** URL at which the host reaches the platform. */
	readonly platform: string;
	readonly operatorToken: string;
};

const sessionSecret = 'a secret of the stand-in fleet, 32 characters or more';

/** Creates the settings file content of an entry host. */
export function createHostSettings({id, zone, port}: ClusterNode, {ports, platform, operatorToken}: Options) {
	return {
		host: {id, zone},
		listen: {
			callers: `127.0.0.1:${ports.callers}`,
			streams: `127.0.0.1:${ports.streams}`,
			hosts: `127.0.0.1:${port}`,
			operators: `127.0.0.1:${ports.operators}`,
		},
		platform: {address: platform},
		secrets: {session: sessionSecret, operatorDigest: createHash('sha256').update(operatorToken).digest('hex')},
	};
}
