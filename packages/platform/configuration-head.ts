import type {Roster} from '@sapphirefall/decisions';

/** The table row that names the configuration in force and holds the roster. */
export type ConfigurationHead = {
	readonly roster: Omit<Roster, 'head'>;
	/** Name of the object that holds the body; empty before the first change. */
	readonly object: string;
	/** The latest changes, oldest first. */
	readonly changes: ReadonlyArray<{
		readonly version: number;
		readonly changeId: string;
		readonly summary: string;
	}>;
};
