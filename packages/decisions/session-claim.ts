import type {LogPoint} from './log-point.ts';

/** What a session token says: the session of a workspace has seen a database up to a point. */
export type SessionClaim = {
	readonly workspace: string;
	readonly database: string;
	readonly point: LogPoint;
};
