/** Stored lock that lets one host at a time in the whole fleet order promotions. */
export type FailoverLockRow = {
	/** Host that holds the lock. */
	readonly holder: string;
	/** Fencing token; increases by one with each new holder. */
	readonly token: number;
};
