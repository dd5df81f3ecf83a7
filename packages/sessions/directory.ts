import type {Route} from './route.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

/** A version of the operators' configuration. */
export type Directory = {
	readonly version: number;
	/** Routes by the database's name. */
	readonly routes: ReadonlyMap<string, Route>;
	/** Connections that each instance of a group accepts, by group. */
	readonly connectionCaps: ReadonlyMap<string, number>;
	/** Workspaces by the digest of their keys; see `hashKey`. */
	readonly workspaceOfKey: ReadonlyMap<string, string>;
	readonly limits: ReadonlyMap<string, WorkspaceLimits>;
	/** Milliseconds for which a transaction may stand idle. */
	readonly transactionIdle: number;
};
