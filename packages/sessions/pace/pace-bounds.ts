/** What the statements in progress of one host at an instance are bounded by. */
export type PaceBounds = {
	/** Statements that the instance runs concurrently. */
	readonly slots: number;
	/** This host's equal share of the instance's slots; the shares of all gateways cover the slots. */
	readonly share: number;
	/** Highest limit, for a host that uses the instance alone. */
	readonly ceiling: number;
};
