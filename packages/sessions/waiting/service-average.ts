/** Average of measured times of service. */
export type ServiceAverage = {
	/** Smoothed milliseconds. */
	readonly serviceMs: number;
	/** Number of measured times. */
	readonly samples: number;
};
