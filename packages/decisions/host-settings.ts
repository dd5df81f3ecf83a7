import type {FailoverSettings} from './failover-settings.ts';

/** Intervals and limits of a host's control loop, in milliseconds. */
export type HostSettings = {
	readonly failover: FailoverSettings;
	/** Interval between two probes of a group that this host watches or uses. */
	readonly probeInterval: number;
	/** Time for which a group counts as in use after its last request. */
	readonly demandSpan: number;
	/** Interval between two exchanges with other hosts. */
	readonly exchangeInterval: number;
	/** Interval between two reads of the configuration's version by one of the zone's readers. */
	readonly versionInterval: number;
	/** Age of the last confirmed table read at which a host that is not a reader reads the version itself. */
	readonly versionFallback: number;
	/** Interval between two reads of the platform's list of hosts and databases. */
	readonly fleetInterval: number;
};
