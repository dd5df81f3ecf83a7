/** Which instance is the primary of a database group, and in which term. */
export type GroupPrimary = {
	readonly database: string;
	readonly term: number;
	readonly instance: string;
};
