import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HostRow} from './host-row.ts';

/** A host's membership in the fleet: registers the host, removes silent hosts, and replaces lost primaries. */
export type FleetController = {
	readonly updateFleet: (fleet: FleetRows) => void;
	/** Registers the host and starts failovers where needed; called repeatedly. */
	readonly step: () => void;
	/** Registers this host in the store, so that other hosts see it at once. */
	readonly register: () => Promise<void>;
	/** Whether the store holds the registration of this process, not that of an earlier start. */
	readonly isRegistered: () => boolean;
	/** Hosts that are registered, or were recently enough that they may still hold leases. */
	readonly listRecentHosts: () => readonly HostRow[];
	readonly fenceGroup: FleetPeer['fenceGroup'];
	readonly confirmSilence: FleetPeer['confirmSilence'];
	/** Deletes this host's registration. */
	readonly leave: () => Promise<void>;
};
