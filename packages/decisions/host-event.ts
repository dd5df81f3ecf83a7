import type {AcceptorConfirmation} from './acceptor-confirmation.ts';
import type {FleetConfiguration} from './fleet-configuration.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {Group} from './group.ts';
import type {GroupPrimary} from './group-primary.ts';
import type {Host} from './host.ts';
import type {InstanceReport} from './instance-report.ts';
import type {MemberUpdate} from './member-update.ts';

/** An input of a host's control loop. Times are monotonic milliseconds. */
export type HostEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'fleetRead'; readonly hosts: readonly Host[]; readonly groups: readonly Group[]}
	| {
		/** The newest configuration, read from the platform's table no earlier than `confirmedAt`. */
		readonly kind: 'configurationRead';
		readonly fleet: FleetConfiguration;
		readonly confirmedAt: number;
	}
	| {readonly kind: 'exchangeFailed'; readonly id: string}
	| {
		readonly kind: 'exchanged';
		readonly id: string;
		readonly incarnation: number;
		readonly version: number;
		/** Version of the table row that the other host knows. */
		readonly head: number;
		/** Present when the other host knows a newer head. */
		readonly fleet: FleetConfiguration | undefined;
		readonly confirmations: readonly AcceptorConfirmation[];
		/** Moment as of which a table read confirmed the other host's version; -Infinity if the other host started the exchange. */
		readonly confirmedAt: number;
		readonly primaries: readonly GroupPrimary[];
		readonly memberUpdates: readonly MemberUpdate[];
	}
	| {readonly kind: 'groupRequested'; readonly database: string}
	| {
		readonly kind: 'reported';
		readonly database: string;
		readonly report: InstanceReport;
		readonly sentAt: number;
	}
	| {readonly kind: 'failover'; readonly database: string; readonly event: FailoverEvent}
	| {readonly kind: 'commitChanged'; readonly hasPendingCommit: boolean}
	| {readonly kind: 'drainStarted'};
