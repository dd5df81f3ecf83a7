import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HostRow} from './host-row.ts';

/** A host's part in the control of the fleet: its registration, and the replacement of primaries. */
export type FleetController = {
	readonly updateFleet: (fleet: FleetRows) => void;
	/** Looks for what is to be done. */
	readonly step: () => void;
	/** Registers this host in the store, which others see at once. */
	readonly register: () => Promise<void>;
	readonly isRegistered: () => boolean;
	/** Hosts that are registered, or were a short while ago. */
	readonly listRecentHosts: () => readonly HostRow[];
	readonly fenceGroup: FleetPeer['fenceGroup'];
	readonly confirmSilence: FleetPeer['confirmSilence'];
	/** Takes the registration back. */
	readonly leave: () => Promise<void>;
};
