/** How the statements that name a database are served. */
export type Route = {
	/** Name that callers use. */
	readonly database: string;
	/** Group of endpoint instances that holds the data. */
	readonly group: string;
	/** `latest`: the primary only; `bounded`: data of a bounded age; `session`: that, and all of the session's own writes. */
	readonly freshness: 'latest' | 'bounded' | 'session';
	/** Milliseconds; age that a read may have. */
	readonly maxStaleness: number;
	/** Milliseconds for a single statement. */
	readonly statementTimeout: number;
	/** Milliseconds within which an operation should be over. */
	readonly targetLatency: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Whether callers need no key. */
	readonly isPublic: boolean;
};
