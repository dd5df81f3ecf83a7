import type {FailoverSettings} from './failover-settings.ts';

/** Times of a host's control loop, in milliseconds. */
export type HostSettings = {
	readonly failover: FailoverSettings;
	/** Between two probes of a group that is watched or in use. */
	readonly probeInterval: number;
	/** Time after its last request for which a group counts as in use. */
	readonly demandSpan: number;
	/** Between two exchanges with other hosts. */
	readonly exchangeInterval: number;
	/** Between two reads of the configuration's version by a reader of the zone. */
	readonly versionInterval: number;
	/** Age of the configuration's proof at which a host that is no reader reads the version itself. */
	readonly versionFallback: number;
	/** Between two reads of the platform's list. */
	readonly fleetInterval: number;
};
