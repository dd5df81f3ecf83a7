import type {FleetPeer} from './fleet-peer.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {OrderPromotion} from './order-promotion.ts';
import type {FailoverReason} from './failover-reason.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';

/** The replacement of a primary by this host, and what it uses. */
export type Failover = {
	readonly group: SessionGroup;
	readonly reason: FailoverReason;
	/** Name of this host. */
	readonly self: string;
	readonly store: Store;
	readonly orderPromotion: OrderPromotion;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Hosts that were registered lately; they may hold leases though their rows are gone. */
	readonly listRecentHosts: () => readonly HostRow[];
	/** Workspace in whose name instances are asked. */
	readonly workspace: string;
	readonly now: () => Instant;
	readonly log: SessionLog;
};
