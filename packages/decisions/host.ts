/** One host of the fleet, as the platform lists it. */
export type Host = {
	readonly id: string;
	readonly zone: string;
	/** Address at which other hosts reach this one. */
	readonly address: string;
	readonly isDeparting: boolean;
};
