/** Average of measured times of service. */
export type ServiceAverage = {
	/** Smoothed milliseconds. */
	readonly serviceMs: number;
	/** Number of measured times. */
	readonly samples: number;
	/** When the last one was measured, in milliseconds of the steady clock. */
	readonly measuredAt: number;
};
