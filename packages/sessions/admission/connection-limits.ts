/** Largest numbers of connections that a host accepts at its ports. */
export type ConnectionLimits = {
	/** Connections of callers. */
	readonly callers: number;
	/** Connections of other hosts. */
	readonly hosts: number;
	/** Connections of readiness checks, and as many of readers of metrics. */
	readonly monitoring: number;
};
