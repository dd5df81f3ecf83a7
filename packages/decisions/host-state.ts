import type {Configuration} from './configuration.ts';
import type {GroupState} from './group-state.ts';
import type {Membership} from './membership.ts';
import type {Roster} from './roster.ts';

/** The state of a host's control loop. Times are monotonic milliseconds. */
export type HostState = {
	readonly zone: string;
	readonly membership: Membership;
	readonly groups: ReadonlyMap<string, GroupState>;
	readonly configuration: Configuration;
	readonly roster: Roster;
	/** When this host learned of the roster's present list of homes. */
	readonly homesKnownAt: number;
	/** The roster's lists of hosts and when this host learned of each, oldest first. */
	readonly rosterHistory: ReadonlyArray<{readonly hosts: readonly string[]; readonly at: number}>;
	/** Moment as of which a table read, by this or another host, confirmed configuration and roster to be the newest. */
	readonly tableConfirmedAt: number;
	/** When each acceptor last confirmed that it had committed nothing newer. */
	readonly confirmations: ReadonlyMap<string, number>;
	/**
	 * Time from which this host, as an acceptor, gives confirmations.
	 *
	 * By then no write of an earlier process with this host's identifier can still take effect.
	 */
	readonly confirmsFrom: number;
	/** Whether the outcome of a commit of this host is still open. */
	readonly hasPendingCommit: boolean;
	/** Configuration versions of the other hosts, as of their last exchange. */
	readonly peerVersions: ReadonlyMap<string, number>;
	readonly isDraining: boolean;
	readonly exchangeRound: number;
	readonly nextExchangeAt: number;
	readonly nextVersionReadAt: number;
	readonly nextFleetReadAt: number;
	readonly nextRosterCheckAt: number;
};
