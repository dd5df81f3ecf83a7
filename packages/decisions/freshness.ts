/** How old the data of a read may be. */
export type Freshness =
	| {readonly kind: 'latest'}
	| {readonly kind: 'session'}
	| {
		readonly kind: 'within';
		/** Greatest age in milliseconds. */
		readonly age: number;
	};
