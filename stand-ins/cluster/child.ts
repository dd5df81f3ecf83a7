/** A process of the cluster. */
export type Child = {
	readonly signal: (name: NodeJS.Signals) => void;
	/** Resolves to the exit code when the process has ended; null after a signal. */
	readonly exited: Promise<number | null>;
	/** Lines that the process has written on its output stream. */
	readonly readOutput: () => string;
	/** Lines that the process has written on its error stream. */
	readonly readErrors: () => string;
};
