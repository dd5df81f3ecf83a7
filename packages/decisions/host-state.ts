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
	/** When the present list of homes in the roster became known here. */
	readonly homesKnownAt: number;
	/** Lists of the roster's hosts and when each became known here, oldest first. */
	readonly rosterHistory: ReadonlyArray<{readonly hosts: readonly string[]; readonly at: number}>;
	/** When a read of the table, here or at another host, last proved configuration and roster to be the newest. */
	readonly tableConfirmedAt: number;
	/** When each acceptor last gave its word that it had committed nothing newer. */
	readonly confirmations: ReadonlyMap<string, number>;
	/** From when this host, as an acceptor, gives its word; an earlier process of its name has no write under way then. */
	readonly confirmsFrom: number;
	/** Whether a commit of this host is unsettled. */
	readonly hasPendingCommit: boolean;
	/** Configuration versions of the other hosts, as last heard. */
	readonly peerVersions: ReadonlyMap<string, number>;
	readonly isDraining: boolean;
	readonly exchangeRound: number;
	readonly nextExchangeAt: number;
	readonly nextVersionReadAt: number;
	readonly nextFleetReadAt: number;
	readonly nextRosterCheckAt: number;
};
