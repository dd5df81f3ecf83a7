import process from 'node:process';
/** A hybrid logical clock: 48 bits of milliseconds, 16 bits of a counter. */
export type HybridClock = {
	/** Time of a local event; later than all times seen. */
	readonly tick: () => bigint;
	/** Takes in the time of a message from another process. */
	readonly observe: (time: bigint) => void;
};
