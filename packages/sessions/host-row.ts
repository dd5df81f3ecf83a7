/** What the store holds about a host that may use primaries. */
export type HostRow = {
	readonly name: string;
	readonly zone: string;
	/** Address for calls of other hosts. */
	readonly address: string;
	/** Differs at each start of the process. */
	readonly incarnation: number;
	/** Whether the host was not heard of for long; it may hold leases for a little while. */
	readonly isGone?: boolean;
};
