import process from 'node:process';
/** A hybrid logical clock. The upper 48 bits of a time hold milliseconds, the lower 16 bits a counter. */
export type HybridClock = {
	/** Returns the time of a local event, which is later than all earlier and all observed times. */
	readonly tick: () => bigint;
	/** Advances the clock to the time of a message from another process. */
	readonly observe: (time: bigint) => void;
};
