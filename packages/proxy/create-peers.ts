import {createPeer, type Peer} from '@sapphirefall/hosts';
import type {HostState} from '@sapphirefall/decisions';
import type {FindPeer} from './find-peer.ts';

/**
 * Creates a directory of the other hosts' clients, which follows the platform's list.
 *
 * @param readState The state of the control loop.
 * @param options How long to wait for answers, heartbeat times, and the clock.
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
