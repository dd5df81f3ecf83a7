/** The last order of a host to promote an instance in a failover. */
export type PromotionOrder = {
	readonly instance: string;
	/** When it was given, in milliseconds of the steady clock. */
	readonly at: number;
	/** Newest term that the instance knew then. */
	readonly term: number;
};
