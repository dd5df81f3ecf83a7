import type {Freshness} from './freshness.ts';

/** One version of the configuration of the whole fleet. */
export type Configuration = {
	readonly version: number;
	/** Identifier of the change that created this version. */
	readonly changeId: string;
	readonly workspaces: ReadonlyMap<string, Workspace>;
	readonly keys: ReadonlyMap<string, WorkspaceKey>;
	/** Fleet-wide default freshness by kind of read. */
	readonly freshness: ReadonlyMap<string, Freshness>;
	/** Freshness that differs from the default for one workspace and kind of read. */
	readonly exceptions: readonly FreshnessException[];
	/** Routes that callers use without a key, by name. */
	readonly routes: ReadonlyMap<string, OpenRoute>;
	/** Units that a request costs, by class: `write`, or the freshness of the read. */
	readonly costs: Readonly<Record<CostClass, number>>;
};

type Workspace = {
	/** Units per second, over the whole fleet. */
	readonly rate: number;
	/** Units that the workspace may use at once after it has been idle. */
	readonly burst: number;
	/** Databases that the workspace may use. */
	readonly databases: readonly string[];
};

type WorkspaceKey = {
	readonly workspace: string;
	/** SHA-256 of the key, in hexadecimal. */
	readonly digest: string;
};

type FreshnessException = {
	readonly workspace: string;
	/** Kind of read. */
	readonly kind: string;
	readonly freshness: Freshness;
	/** Why the workspace needs the exception. */
	readonly reason: string;
};

type OpenRoute = {
	/** Workspace whose rate is charged for requests on the route. */
	readonly workspace: string;
	readonly database: string;
	readonly sql: string;
	readonly freshness: Freshness;
};

type CostClass = 'write' | 'latest' | 'session' | 'within';
