import process from 'node:process';
import type {LinkFault} from './link-fault.ts';

/** A relay for TCP connections to one process. */
export type Link = {
	readonly port: number;
	/** Changes the fault. Omitted properties keep their values. */
	readonly setFault: (fault: Partial<LinkFault>) => void;
	/** Closes the open connections. New connections work. */
	readonly reset: () => void;
	/** Discards all further bytes on the open connections, which stay open. New connections work. */
	readonly mute: () => void;
	/** Closes the relay and all its connections. */
	readonly close: () => void;
};
