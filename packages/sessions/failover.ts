import type {FleetPeer} from './fleet-peer.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownEra} from './known-era.ts';
import type {OrderPromotion} from './order-promotion.ts';
import type {FailoverReason} from './failover-reason.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';

/** A failover that this host runs: the group, the reason, and what the failover depends on. */
export type Failover = {
	readonly group: SessionGroup;
	readonly reason: FailoverReason;
	/** Name of this host. */
	readonly self: string;
	/** Incarnation of this host's process. */
	readonly incarnation: number;
	/** Epoch of the group's row on which this host decided to replace the primary. */
	readonly epoch: number;
	/** When this host first saw that row fenced, in milliseconds of the steady clock; undefined if it was not. */
	readonly fencedAt: number | undefined;
	/**
	 * Whether a primary may stay only if all instances answer, because another one may have been promoted in seconds that the
	 * store has lost.
	 */
	readonly mayHaveMissedPromotion: boolean;
	/** Whether a zone is evacuated now. Defaults to none. */
	readonly isEvacuated?: (zone: string) => boolean;
	/** Whether the configuration demands that a replica has received each commit before it is acknowledged. */
	readonly isSynchronous: () => boolean;
	/** Whether the platform's list of instances is recent enough to act on. */
	readonly isListFresh: () => boolean;
	/**
	 * Whether the primary must be fenced also while another host uses the failover lock, because statements may not be sent to
	 * a departing or missing instance much longer.
	 */
	readonly isFenceDue: boolean;
	/** Whether the failover that another group's row of this epoch names is left to whichever host resumes it. */
	readonly isGivenUp: (group: string, epoch: number) => boolean;
	/** Whether a host that uses the failover lock leaves all pings unanswered; asks it. */
	readonly isHostSilent: (host: string) => Promise<boolean>;
	readonly findEra: () => KnownEra;
	readonly store: Store;
	readonly orderPromotion: OrderPromotion;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Hosts that are or recently were registered; they may hold leases though their rows are deleted. */
	readonly listRecentHosts: () => readonly HostRow[];
	/** Since when no process of a host has ended, as far as this host can know, in milliseconds of the steady clock. */
	readonly findHostsUnchangedSince: () => number;
	/** Workspace whose connections are used to query instances. */
	readonly workspace: string;
	readonly now: () => Instant;
	readonly log: SessionLog;
};
