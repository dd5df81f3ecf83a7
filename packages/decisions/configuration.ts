import type {Freshness} from './freshness.ts';

/** The configuration of the whole fleet, in one version. */
export type Configuration = {
	readonly version: number;
	/** Names the change that made this version. */
	readonly changeId: string;
	readonly workspaces: Readonly<Record<string, Workspace>>;
	readonly keys: Readonly<Record<string, WorkspaceKey>>;
	/** Fleet-wide freshness by kind of read. */
	readonly freshness: Readonly<Record<string, Freshness>>;
	readonly exceptions: readonly FreshnessException[];
	readonly routes: Readonly<Record<string, OpenRoute>>;
	/** Units that a request costs, by class. */
	readonly costs: Readonly<Record<CostClass, number>>;
};

type Workspace = {
	/** Units a second over the whole fleet. */
	readonly rate: number;
	/** Units. */
	readonly burst: number;
	readonly databases: readonly string[];
};

type WorkspaceKey = {
	readonly workspace: string;
	/** SHA-256 of the key, in hexadecimal. */
	readonly digest: string;
};

type FreshnessException = {
	readonly workspace: string;
	readonly kind: string;
	readonly freshness: Freshness;
	readonly reason: string;
};

type OpenRoute = {
	/** The workspace that pays for the route. */
	readonly workspace: string;
	readonly database: string;
	readonly sql: string;
	readonly freshness: Freshness;
};

type CostClass = 'write' | 'latest' | 'session' | 'within';
