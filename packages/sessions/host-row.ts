/** What the store holds about a host that may use primaries. */
export type HostRow = {
	readonly name: string;
	readonly zone: string;
	/** Address for calls of other hosts. */
	readonly address: string;
	/** Differs at each start of the process. */
	readonly incarnation: number;
};
