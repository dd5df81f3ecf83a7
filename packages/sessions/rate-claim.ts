/** Request of a host to the rate allocator for a share of a workspace's rate. */
export type RateClaim = {
	readonly workspace: string;
	/** Operations per second that callers request at the host. */
	readonly demand: number;
	/** Operations per second of the share that the host holds now. */
	readonly held: number;
	/** Remaining lifetime of that share, in milliseconds. */
	readonly heldFor: number;
	/** Operations that callers are waiting for now. */
	readonly needed: number;
};
