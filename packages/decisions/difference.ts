/** A part of the configuration that a declaration adds, removes or changes, in words. */
export type Difference = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** What it is, such as `workspace upper`. */
	readonly name: string;
	/** How it is now; empty when it is added. */
	readonly before: string;
	/** How it is declared; empty when it is removed. */
	readonly after: string;
};
