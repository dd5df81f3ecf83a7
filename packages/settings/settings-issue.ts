/** An error in a settings file. */
export type SettingsIssue = {
	/** Line in the file, counted from 1. */
	readonly line: number;
	/** Path of the setting, such as `listen.hosts`; empty for a syntax error or an error of the whole file. */
	readonly path: string;
	/** Value that was found, and what the schema allows. */
	readonly message: string;
};
