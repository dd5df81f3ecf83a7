import type {Route} from './route.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

/** A version of the operators' configuration. */
export type SessionConfiguration = {
	readonly version: number;
	/** Routes by the database's name. */
	readonly routes: ReadonlyMap<string, Route>;
	/** Connections that each instance of a group accepts, by group. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** Workspaces by the digest of their keys; see `hashKey`. */
	readonly workspaceByKeyDigest: ReadonlyMap<string, string>;
	readonly limits: ReadonlyMap<string, WorkspaceLimits>;
	/** Milliseconds for which a transaction may stand idle. */
	readonly transactionIdleLimit: number;
};
