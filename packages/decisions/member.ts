/** What is known of the liveness of one host. */
export type Member = {
	/** Rises each time the host starts or refutes its death. */
	readonly incarnation: number;
	readonly isAlive: boolean;
	/** Monotonic milliseconds of the last change. */
	readonly changedAt: number;
	/** Exchanges that failed in a row. */
	readonly failures: number;
};
