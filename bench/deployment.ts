import type {LoadPlan} from '@sapphirefall/load';

/** A deployment of a user of this project, with its current sizes. */
export type Deployment = {
	readonly name: string;
	/** One-way delay between zones, in milliseconds. */
	readonly zoneDelay: number;
	readonly databases: readonly string[];
	readonly slots: number;
	readonly connectionLimit: number;
	readonly workspaces: LoadPlan['workspaces'];
};
