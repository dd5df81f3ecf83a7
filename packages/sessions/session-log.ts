/** Fields of a log line: the inputs of a decision, their age or version, and the outcome. */
type LogFields = Readonly<Record<string, unknown>>;

/** Writes a line. Fields that are expensive to create are passed as a function, which runs only if the line is written. */
type WriteLine = (fields: LogFields | (() => LogFields), line: string) => void;

/** A structured log; each line begins with the name of the component that writes it. */
export type SessionLog = {
	readonly debug: WriteLine;
	readonly info: WriteLine;
	readonly warn: WriteLine;
};
