import type {LoadPlan} from '@sapphirefall/load';

/** One of the users' deployments at today's sizes. */
export type Deployment = {
	readonly name: string;
	/** Milliseconds from zone to zone, one way. */
	readonly zoneDelay: number;
	readonly databases: readonly string[];
	readonly slots: number;
	readonly connectionLimit: number;
	readonly workspaces: LoadPlan['workspaces'];
};
