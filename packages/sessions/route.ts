import type {AllowedRegions} from './regions/allowed-regions.ts';

/** How the host serves the statements for a database. */
export type Route = {
	/** Name of the database as callers know it. */
	readonly database: string;
	/** Name of the group of endpoint instances that holds the data. */
	readonly group: string;
	/**
	 * `latest` reads from the primary only. `bounded` allows replicas within the staleness limit. `session` also requires
	 * that reads see the session's own writes.
	 */
	readonly freshness: 'latest' | 'bounded' | 'session';
	/** Largest staleness of a read in milliseconds. */
	readonly maxStaleness: number;
	/** Timeout of a single statement in milliseconds. */
	readonly statementTimeout: number;
	/** Milliseconds within which an operation should finish. */
	readonly targetLatency: number;
	/** Priority of the statements; 0 is the highest. */
	readonly priority: number;
	/** Whether callers need no key. */
	readonly isPublic: boolean;
	/** Regions in which statements of the route may run. */
	readonly allowedRegions?: AllowedRegions;
};
