/** The present era of the store, as far as a host knows; see `StoreVersion`. */
export type KnownEra = {
	readonly era: number;
	/** Since when the host has known it, in milliseconds of the steady clock. */
	readonly since: number;
};
