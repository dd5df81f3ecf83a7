/** Sends probes to one instance over a stream. */
export type Prober = {
	/** Sends a probe. The report is passed to `onReport`, an option of `openProber`. */
	readonly probe: () => void;
	readonly close: () => void;
};
