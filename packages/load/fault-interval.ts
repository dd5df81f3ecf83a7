/** A fault and the interval for which it was injected, in milliseconds from the start of the load. */
export type FaultInterval = {
	readonly title: string;
	readonly from: number;
	readonly to: number;
};
