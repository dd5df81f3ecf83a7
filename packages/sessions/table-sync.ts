import type {FleetPeer} from './fleet-peer.ts';

/** What keeps a host's knowledge of the store. */
export type TableSync = {
	/** Answers another host of the zone. */
	readonly readTables: FleetPeer['readTables'];
	/** Whether this host reads the store, for itself or for its zone. */
	readonly isStoreReader: () => boolean;
	readonly stop: () => void;
};
