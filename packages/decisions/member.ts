/** The liveness of one host, as this host knows it. */
export type Member = {
	/** Rises each time the host starts or refutes a report of its death. */
	readonly incarnation: number;
	readonly isAlive: boolean;
	/** Monotonic milliseconds of the last change of liveness or incarnation. */
	readonly changedAt: number;
	/** Consecutive exchanges that failed. */
	readonly failures: number;
};
