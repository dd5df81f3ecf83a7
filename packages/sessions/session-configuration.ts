import type {Route} from './route.ts';
import type {WarmupLimit} from './cold-instances/warmup-limit.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

/** A decoded version of the operators' configuration. */
export type SessionConfiguration = {
	readonly version: number;
	/** Routes by database name. */
	readonly routes: ReadonlyMap<string, Route>;
	/** Number of connections that each instance of a group accepts, by group. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** Groups whose primaries acknowledge a commit only once a replica has received it. */
	readonly synchronousGroups: ReadonlySet<string>;
	/** How cold instances are spared, by group; groups without a limit are missing. */
	readonly warmupLimits: ReadonlyMap<string, WarmupLimit>;
	/** Workspaces by key digest; see `hashKey`. */
	readonly workspaceByKeyDigest: ReadonlyMap<string, string>;
	/** Rate limits by workspace. */
	readonly limits: ReadonlyMap<string, WorkspaceLimits>;
	/** Regions in which statements of a workspace may run, by workspace; those without a restriction are missing. */
	readonly allowedRegions: ReadonlyMap<string, ReadonlySet<string>>;
	/** Milliseconds for which a transaction may be idle. */
	readonly transactionIdleLimit: number;
};
