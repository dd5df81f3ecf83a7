import type {FleetPeer} from './fleet-peer.ts';

type Options = {
	/** Finds the present address of a host; undefined if the fleet's rows do not name one. */
	readonly findAddress: (host: string) => string | undefined;
	/** Creates the client for calls to another host. */
	readonly createPeer: (address: string) => FleetPeer;
};

/**
 * Creates the function that finds the client for calls to a host. It is created at the first use, and anew when the address of
 * the host changes; a host that has no address any more keeps its last one.
 */
export function createPeerFinder({findAddress, createPeer}: Options): (host: string) => FleetPeer | undefined {
	const peers = new Map<string, {readonly address: string; readonly peer: FleetPeer}>();
	return host => {
		const address = findAddress(host);
		const known = peers.get(host);
		if (address === undefined || known?.address === address) {
			return known?.peer;
		}

		const peer = createPeer(address);
		peers.set(host, {address, peer});
		return peer;
	};
}
