import type {Roster} from '@sapphirefall/decisions';

/** Content of the table row that refers to the configuration in force and holds the roster. */
export type ConfigurationHead = {
	readonly roster: Omit<Roster, 'head'>;
	/** Name of the object that holds the configuration; empty before the first change. */
	readonly object: string;
	/** The most recent changes, oldest first. */
	readonly changes: ReadonlyArray<{
		readonly version: number;
		readonly changeId: string;
		readonly summary: string;
	}>;
};
