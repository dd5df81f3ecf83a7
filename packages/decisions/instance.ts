/** One instance of a database group, as the platform lists it. */
export type Instance = {
	readonly id: string;
	readonly zone: string;
	readonly address: string;
	readonly isDeparting: boolean;
};
