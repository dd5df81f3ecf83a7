/** Sends probes to one instance over one stream. */
export type Prober = {
	/** Sends a probe; its answer goes to the callback that the prober was opened with. */
	readonly probe: () => void;
	readonly close: () => void;
};
