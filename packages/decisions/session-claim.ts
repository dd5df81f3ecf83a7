import type {LogPoint} from './log-point.ts';

/** The content of a session token: the log point up to which a session of a workspace has seen a database. */
export type SessionClaim = {
	readonly workspace: string;
	readonly database: string;
	readonly point: LogPoint;
};
