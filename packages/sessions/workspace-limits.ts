/** What a workspace may use over the whole fleet. */
export type WorkspaceLimits = {
	/** Operations a second. */
	readonly rate: number;
	/** Operations. */
	readonly burst: number;
};
