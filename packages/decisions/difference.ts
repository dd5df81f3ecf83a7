/** An entry of the configuration that a declaration adds, removes or changes, described as text. */
export type Difference = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** Section and name of the entry, such as `workspace upper`. */
	readonly name: string;
	/** Present value; empty for an added entry. */
	readonly before: string;
	/** Declared value; empty for a removed entry. */
	readonly after: string;
};
