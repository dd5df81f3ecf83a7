/** A child process that runs one member of the cluster. */
export type Child = {
	readonly signal: (name: NodeJS.Signals) => void;
	/** Resolves to the exit code when the process exits, or to `null` if a signal terminated it. */
	readonly exited: Promise<number | null>;
	/** Returns everything that the process has written to standard output. */
	readonly readOutput: () => string;
	/** Returns everything that the process has written to standard error. */
	readonly readErrors: () => string;
};
