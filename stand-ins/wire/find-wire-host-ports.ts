/* eslint-disable no-await-in-loop -- ports are tried one after another */
import {findFreePort} from '../cluster/find-free-port.ts';
import type {WireHostPorts} from './wire-host-ports.ts';

/** Ports that a host uses for other hosts and for its metrics. */
const hostPortCount = 2;

/** Settles once the ports of the host before are found; hosts that start together would otherwise take each other's next port. */
let portsFound: Promise<unknown> = Promise.resolve();

/** Finds the free ports of a host of a simulated deployment. */
export async function findWireHostPorts(): Promise<WireHostPorts> {
	const before = portsFound;
	const ports = (async () => {
		await before;
		return {callers: await findFreePort(), readiness: await findFreePort(), hosts: await findFreePorts()};
	})();
	portsFound = ports;
	return ports;
}

/** Finds the first port of a free range for a host. */
async function findFreePorts(): Promise<number> {
	for (;;) {
		const first = await findFreePort();
		let last = first;
		while (last - first < hostPortCount - 1 && await findFreePort() === last + 1) {
			last++;
		}

		if (last - first === hostPortCount - 1) {
			return first;
		}
	}
}
