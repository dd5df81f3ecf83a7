/** The pace of an instance, as one host has found it; times are in milliseconds. */
export type PaceState = {
	/** Statements that the host may have in progress. */
	readonly limit: number;
	/** In a slow start the limit doubles each round; afterwards it changes step by step. */
	readonly phase: 'slowStart' | 'steady';
	/** Limit at which the slow start ends. */
	readonly target: number;
	/** Low moving average of the mean latencies; undefined before it is known. */
	readonly calmLatency: number | undefined;
	/** Moving average of the latency; undefined before the first answer. */
	readonly recentLatency: number | undefined;
	/** Answers since the limit was last decided on. */
	readonly round: {
		readonly answers: number;
		/** Answers with a known latency, and the sum of these. */
		readonly measured: number;
		readonly totalLatency: number;
		/** Most statements that were in progress at once. */
		readonly peak: number;
	};
	/** Failures since the last answer. */
	readonly failures: number;
	/** Refusals of a busy instance since it last ran a statement. */
	readonly refusals: number;
	/** When the limit last fell, in milliseconds of the steady clock. */
	readonly fellAt: number;
};
