/** The record of a session, with identifiers and times left out so that each run gives the same. */
export type Transcript = {
	readonly add: (line: string) => void;
	readonly read: () => string;
};
