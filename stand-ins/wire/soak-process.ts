import type {WireDeployment} from './wire-deployment.ts';

/** A host process in a soak, with what was done to it. Times are milliseconds of the steady clock. */
export type SoakProcess = {
	readonly host: WireDeployment['hosts'][number];
	/** Sends a signal and records it. */
	readonly send: (signal: NodeJS.Signals) => void;
	/** Signals that were sent, without those that freeze and thaw the process. */
	readonly signals: () => ReadonlyArray<{readonly at: number; readonly signal: NodeJS.Signals}>;
	/** How the process ended: its exit code, null if a signal ended it. */
	readonly end: () => {readonly at: number; readonly code: number | null} | undefined;
	readonly ended: Promise<void>;
	/** Freezes and thaws the process again and again until it ends. */
	readonly slowDown: () => Promise<void>;
	readonly isSlowed: () => boolean;
};
