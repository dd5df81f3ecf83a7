/** The log of a host. Lines are short sentences, each with the prefix of its subsystem. */
export type HostLog = {
	readonly debug: (line: string) => void;
	readonly info: (line: string) => void;
	readonly warn: (line: string) => void;
};
