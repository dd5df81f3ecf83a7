/** A fault that was in force for a part of a load, in milliseconds from its start. */
export type FaultInterval = {
	readonly title: string;
	readonly from: number;
	readonly to: number;
};
