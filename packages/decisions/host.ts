/** One entry host, as the platform lists it. */
export type Host = {
	readonly id: string;
	readonly zone: string;
	/** Address at which other hosts reach it. */
	readonly address: string;
	readonly isDeparting: boolean;
};
