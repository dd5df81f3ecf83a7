/** Ports of a host of a simulated deployment. */
export type WireHostPorts = {
	/** Port for sessions of callers. */
	readonly callers: number;
	/** Port of the readiness check. */
	readonly readiness: number;
	/** First port of the range for other hosts and for metrics; the range has two ports. */
	readonly hosts: number;
};
