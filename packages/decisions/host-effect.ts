import type {Roster} from './roster.ts';
import type {FailoverEffect} from './failover-effect.ts';

/** An action that a host's control loop orders. The `publish` effects go to events, metrics and the log. */
export type HostEffect =
	/** Exchanges state with another host. */
	| {readonly kind: 'exchange'; readonly partner: string}
	/** Reads the newest configuration and roster from the platform's table. */
	| {readonly kind: 'readVersion'}
	/** Reads the platform's lists of hosts and groups. */
	| {readonly kind: 'readFleet'}
	/** Writes a changed roster to the platform's table. */
	| {readonly kind: 'changeRoster'; readonly roster: Omit<Roster, 'head' | 'epoch'>}
	/** Probes all instances of a database group. */
	| {readonly kind: 'probe'; readonly database: string}
	| {readonly kind: 'failover'; readonly database: string; readonly effect: FailoverEffect}
	| {readonly kind: 'publishPrimary'; readonly database: string; readonly term: number; readonly instance: string}
	| {readonly kind: 'publishConfiguration'; readonly version: number};
