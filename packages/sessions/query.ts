/** A read or write of a caller, to be run on an instance. */
export type Query = {
	readonly id: string;
	readonly text: string;
	readonly access: 'read' | 'write';
	/** Name of the prepared statement, and its arguments, if it runs one. */
	readonly execute: {readonly name: string; readonly parameters: string} | undefined;
};
