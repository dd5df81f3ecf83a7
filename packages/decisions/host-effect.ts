import type {Roster} from './roster.ts';
import type {FailoverEffect} from './failover-effect.ts';

/** An action that a host's control loop orders. The `publish` effects go to events, metrics and the log. */
export type HostEffect =
	| {readonly kind: 'exchange'; readonly partner: string}
	| {readonly kind: 'readVersion'}
	| {readonly kind: 'readFleet'}
	| {readonly kind: 'changeRoster'; readonly roster: Omit<Roster, 'head' | 'epoch'>}
	| {readonly kind: 'probe'; readonly database: string}
	| {readonly kind: 'failover'; readonly database: string; readonly effect: FailoverEffect}
	| {readonly kind: 'publishPrimary'; readonly database: string; readonly term: number; readonly instance: string}
	| {readonly kind: 'publishConfiguration'; readonly version: number};
