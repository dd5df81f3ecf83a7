import type {LoadClass} from './load-class.ts';
import type {Violation} from './violation.ts';

/** Measurements of a load. Times are in milliseconds, shares are from 0 to 1. */
export type LoadSummary = {
	readonly requests: number;
	readonly done: number;
	/** Share of the reads that a replica served. */
	readonly replicaShare: number;
	/** Longest time for which writes were pending and none was acknowledged; the maximum over all databases. */
	readonly writeGapMs: number;
	/** Lowest share over all workspaces: cost of the requests done, relative to the cost offered within rate and burst. */
	readonly worstWorkspace: number;
	readonly worstWorkspaceName: string;
	/** That share of each workspace. */
	readonly workspaces: Readonly<Record<string, number>>;
	/** Share of all requests that were refused for the rate although they were within it. */
	readonly wrongfulRefusals: number;
	readonly latency: Readonly<Record<LoadClass, {readonly p50: number; readonly p99: number; readonly max: number}>>;
	/** Number of requests by result code; -1 stands for no answer. */
	readonly codes: Readonly<Record<string, number>>;
	readonly violations: readonly Violation[];
};
