/** Ports at which callers and operators reach a host. */
export type HostPorts = {
	readonly callers: number;
	readonly streams: number;
	readonly operators: number;
};
