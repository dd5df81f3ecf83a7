import type {FailoverState} from './failover-state.ts';
import type {GroupView} from './group-view.ts';

/** The state of one database group in a host's control loop. */
export type GroupState = {
	readonly view: GroupView;
	readonly failover: FailoverState;
	/** This host's role as a watcher of the group; undefined if it does not watch the group. */
	readonly watch: WatchRole | undefined;
	/** Monotonic milliseconds of the last request for the group on this host. */
	readonly lastRequestAt: number;
	readonly nextProbeAt: number;
};

type WatchRole = {
	/** Number of watchers in other zones that act before this one. */
	readonly rank: number;
	/**
	 * Whether a watcher of another zone must confirm the suspicion before instances are fenced.
	 *
	 * False only when the platform lists hosts in a single zone. Zones whose hosts are silent still count: they may be
	 * healthy and only unreachable from here.
	 */
	readonly needsConfirmation: boolean;
	/** Identifiers of the hosts that watch in the other zones. */
	readonly others: readonly string[];
	/** Monotonic milliseconds when this host began to watch. */
	readonly since: number;
};
