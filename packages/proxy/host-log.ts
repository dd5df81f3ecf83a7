/** The log lines of a host: short sentences, each with the prefix of its part. */
export type HostLog = {
	readonly debug: (line: string) => void;
	readonly info: (line: string) => void;
	readonly warn: (line: string) => void;
};
