/** Stored registration of a host, without which it may not use primaries. */
export type HostRow = {
	readonly name: string;
	readonly zone: string;
	/** Address at which other hosts call this host. */
	readonly address: string;
	/** Differs at each start of the process. */
	readonly incarnation: number;
	/** Lifetime of the host's leases on primaries in milliseconds; undefined in rows of versions that did not write it. */
	readonly leaseMs?: number;
	/** Whether the host has been silent for long and is being removed; until its row is deleted it may still hold leases. */
	readonly isGone?: boolean;
};
