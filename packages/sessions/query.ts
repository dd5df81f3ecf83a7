/** A read or write of a caller that runs on an instance. */
export type Query = {
	readonly id: string;
	readonly text: string;
	readonly access: 'read' | 'write';
	/** Name and arguments of the prepared statement that the query executes; undefined for a query without one. */
	readonly execute: {readonly name: string; readonly parameters: string} | undefined;
};
