import type {FailoverState} from './failover-state.ts';
import type {GroupView} from './group-view.ts';

/** What a host's control loop keeps of one database group. */
export type GroupState = {
	readonly view: GroupView;
	readonly failover: FailoverState;
	/** This host's part in watching the group; undefined when it has none. */
	readonly watch: WatchRole | undefined;
	/** Monotonic milliseconds of the last request that used the group here. */
	readonly lastRequestAt: number;
	readonly nextProbeAt: number;
};

type WatchRole = {
	/** Watchers of other zones that act before this one. */
	readonly rank: number;
	/**
	 * Whether a second zone must agree before anything is fenced.
	 *
	 * False only when the platform lists hosts in one zone alone: a zone whose hosts are merely silent may be well.
	 */
	readonly needsConfirmation: boolean;
	/** Watchers of the other zones, by host id. */
	readonly others: readonly string[];
	/** Monotonic milliseconds since which this host watches. */
	readonly since: number;
};
