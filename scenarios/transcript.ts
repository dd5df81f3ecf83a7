/** Transcript of a scenario run, without identifiers and times, so that each run gives the same text. */
export type Transcript = {
	readonly add: (line: string) => void;
	readonly read: () => string;
};
