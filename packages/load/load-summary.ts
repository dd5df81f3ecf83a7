import type {LoadClass} from './load-class.ts';
import type {Violation} from './violation.ts';

/** The measures of a load. Times are milliseconds, shares from 0 to 1. */
export type LoadSummary = {
	readonly requests: number;
	readonly done: number;
	/** Share of the reads that a replica served. */
	readonly replicaShare: number;
	/** Longest time for which a write waited and none was acknowledged, in the database where it was longest. */
	readonly writeGapMs: number;
	/** Share done of the requests of the workspace that fared worst, of those within its rate. */
	readonly worstWorkspace: number;
	readonly worstWorkspaceName: string;
	/** The same for each workspace. */
	readonly workspaces: Readonly<Record<string, number>>;
	/** Share of all requests that were refused for rate although within it. */
	readonly wrongfulRefusals: number;
	readonly latency: Readonly<Record<LoadClass, {readonly p50: number; readonly p99: number; readonly max: number}>>;
	/** Number of answers by result code; -1 stands for no answer. */
	readonly codes: Readonly<Record<string, number>>;
	readonly violations: readonly Violation[];
};
