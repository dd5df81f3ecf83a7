import type {ChildProcess} from 'node:child_process';

/** A host process of a simulated deployment. */
export type WireHost = {
	readonly name: string;
	readonly process: ChildProcess;
	/** Port for sessions of callers. */
	readonly port: number;
	/** Port of the HTTP readiness check. */
	readonly readyPort: number;
	/** Port for calls of other hosts. */
	readonly hostsPort: number;
	/** Returns everything that the process has written to standard output. */
	readonly output: () => string;
	/** Returns everything that the process has written to standard error; it is passed on to that of this process as well. */
	readonly errors: () => string;
};
