/** One fault in a settings file. */
export type SettingsIssue = {
	/** Line in the file, from 1. */
	readonly line: number;
	/** Path of the setting, such as `listen.hosts`; empty for the whole file. */
	readonly path: string;
	/** What was found and what is allowed. */
	readonly message: string;
};
