import {createPeer, type Peer} from '@sapphirefall/hosts';
import type {HostState} from '@sapphirefall/decisions';
import type {FindPeer} from './find-peer.ts';

/**
 * Creates a function that finds the client of another host.
 *
 * It creates the client on first use, and replaces it when the host's address in the platform's list changes.
 *
 * @param readState Reads the state of the control loop.
 * @param options Timeout of calls, heartbeat times, and the clock.
 */
export function createPeers(readState: () => HostState, options: Parameters<typeof createPeer>[1]): FindPeer {
	const peers = new Map<string, {readonly address: string; readonly peer: Peer}>();
	return id => {
		const host = readState().membership.hosts.get(id);
		const known = peers.get(id);
		if (host === undefined || known?.address === host.address) {
			return host === undefined ? undefined : known?.peer;
		}

		const peer = createPeer(host.address, options);
		peers.set(id, {address: host.address, peer});
		return peer;
	};
}
