import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';

/** A host's shares of the rates, and the home of the rates if this host is it. */
export type RateLimiter = {
	/** Takes an operation; else says after how many milliseconds to come back. */
	readonly takeOperation: (workspace: string) => Promise<{readonly isTaken: boolean; readonly retryAfter: number}>;
	/** Answers the claims of a host if this one is the home. */
	readonly claimRates: FleetPeer['claimRates'];
	/** Registered hosts that have not claimed for long, if this host is the home. */
	readonly listSilentHosts: () => readonly string[];
	/** Takes in the fleet's rows, which name the home. */
	readonly updateFleet: (fleet: FleetRows) => void;
	/** Claims shares if it is time to. */
	readonly step: () => void;
};
