/** Values of a log line: inputs of a decision, their age or version, and the outcome. */
type LogFields = Readonly<Record<string, unknown>>;

/** Writes a line; fields that take work to make are given as a function, which runs only if the line is written. */
type WriteLine = (fields: LogFields | (() => LogFields), line: string) => void;

/** Structured log lines; a line begins with the part that writes it. */
export type SessionLog = {
	readonly debug: WriteLine;
	readonly info: WriteLine;
	readonly warn: WriteLine;
};
