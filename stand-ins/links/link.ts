import process from 'node:process';
import type {LinkFault} from './link-fault.ts';

/** A relay for connections to one process. */
export type Link = {
	readonly port: number;
	readonly setFault: (fault: Partial<LinkFault>) => void;
	/** Closes the connections that are open; new ones work. */
	readonly reset: () => void;
	/** Silences the connections that are open for good; new ones work. */
	readonly mute: () => void;
	readonly close: () => void;
};
