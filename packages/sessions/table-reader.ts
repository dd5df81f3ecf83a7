import type {FleetPeer} from './fleet-peer.ts';

/** What keeps a host's knowledge of the store. */
export type TableReader = {
	/** Answers another host of the zone. */
	readonly readTables: FleetPeer['readTables'];
	readonly stop: () => void;
};
