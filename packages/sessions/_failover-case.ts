import type {LogPoint} from '@sapphirefall/decisions';
import type {Failover} from './failover.ts';
import type {FenceAnswer} from './fence-answer.ts';
import type {HostRow} from './host-row.ts';
import type {KnownGroup} from './known-group.ts';
import type {LogCopy} from './log-copies/log-copy.ts';

/** Status rows of the instances, by id; undefined for an instance that is silent. */
type Statuses = Readonly<Record<string, string | undefined>>;

/** What happens in a simulated failover. */
export type FailoverCase = {
	readonly statuses: Statuses;
	/** Status rows in the first milliseconds, `firstMs` of them; the same as later if left out. */
	readonly statusesFirst?: Statuses;
	/** Status rows after the promotion order. */
	readonly statusesAfter: Statuses;
	/** Status rows once the first order takes effect, `lateAfterMs` after it; the same as before if left out. */
	readonly statusesLate?: Statuses;
	/** `lateEffectMs` if left out. */
	readonly lateAfterMs?: number;
	readonly reason?: Failover['reason'];
	/** Instances whose zones are evacuated; none if left out. */
	readonly evacuated?: readonly string[];
	readonly isLosing?: boolean;
	readonly mayHaveMissedPromotion?: boolean;
	/** Era of the store, whose row is one of the first. */
	readonly era?: number;
	/** What the host knew before that era. */
	readonly known?: KnownGroup;
	/** Since when the host has known the era of the store, in milliseconds of the steady clock. */
	readonly eraSince?: number;
	readonly recentHosts?: readonly HostRow[];
	/** Answers to the promotion orders, one after another; `accepted` for further ones. */
	readonly answers?: ReadonlyArray<'accepted' | 'refused' | 'lost'>;
	/** Term that the primary led when it was stored; unknown if left out. */
	readonly term?: number;
	/** Whether a commit is acknowledged only once a replica has received it. */
	readonly isSynchronous?: boolean;
	/** When the process of each instance started, by id, as the platform lists it; not known if left out. */
	readonly born?: Readonly<Record<string, number>>;
	/** Number of the entries that an instance has written when it first answers, and how many it writes until `firstMs`. */
	readonly entries?: {readonly first: number; readonly later: number};
	/** Logs that may hold acknowledged commits, as the row names them; not named if left out. */
	readonly copies?: readonly LogCopy[];
	/** What this host knows of the primary's log, `age` milliseconds before the failover; nothing if left out. */
	readonly ownMark?: {readonly position: LogPoint; readonly age: number};
	/** Position beyond which this host has acknowledged a commit; none if left out. */
	readonly ownCommit?: LogPoint;
	/** What other hosts answer that are asked to release the primary. */
	readonly hostAnswers?: Readonly<Record<string, FenceAnswer | undefined>>;
	/** Milliseconds before the failover since which no process of a host has ended. */
	readonly hostsUnchangedMs?: number;
	/** Whether another host uses the failover lock for its own group until `goneAfterMs`. */
	readonly isLockUsed?: boolean;
	/** Instance that the platform does not list any more after `goneAfterMs`. */
	readonly gone?: string;
	/** What happens while the first order is on its way: another host takes the failover over, or the lock, or this host is suspended. */
	readonly duringOrder?: 'takeover' | 'lock' | 'suspension';
};
