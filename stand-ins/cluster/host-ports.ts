/** Ports on which a host listens for requests of callers, streams of callers, and operators. */
export type HostPorts = {
	readonly callers: number;
	readonly streams: number;
	readonly operators: number;
};
