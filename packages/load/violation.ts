/** An answer that was wrong, and the request that got it. */
export type Violation = {
	readonly kind: 'lost' | 'doubled' | 'notRunRan' | 'foreign' | 'stale' | 'unreadWrite';
	readonly request: string;
	readonly detail: string;
};
