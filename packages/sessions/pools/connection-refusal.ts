/** A connection that an instance refused because it had too many. */
export type ConnectionRefusal = {
	/** Connections that the pool held then. */
	readonly held: number;
	/** When it was refused, in milliseconds of the steady clock. */
	readonly at: number;
};
