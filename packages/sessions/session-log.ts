/** Values of a log line: inputs of a decision, their age or version, and the outcome. */
type LogFields = Readonly<Record<string, unknown>>;

/** Structured log lines; a line begins with the part that writes it. */
export type SessionLog = {
	readonly debug: (fields: LogFields, line: string) => void;
	readonly info: (fields: LogFields, line: string) => void;
	readonly warn: (fields: LogFields, line: string) => void;
};
