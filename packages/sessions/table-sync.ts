import type {FleetPeer} from './fleet-peer.ts';

/** Keeps a host's cached tables up to date, and serves them to other hosts. */
export type TableSync = {
	/** Answers another host's request for tables. */
	readonly readTables: FleetPeer['readTables'];
	/** Whether this host currently reads the store itself. */
	readonly isStoreReader: () => boolean;
	/** Stops reading, and answers requests at once from then on, those that wait too. */
	readonly stop: () => void;
};
