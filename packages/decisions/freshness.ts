/**
 * How stale the data of a read may be.
 *
 * `latest`: the state at the primary. `session`: a state that includes what the session has written and read.
 * `within`: a state no older than `age`.
 */
export type Freshness =
	| {readonly kind: 'latest'}
	| {readonly kind: 'session'}
	| {
		readonly kind: 'within';
		/** Longest staleness in milliseconds. */
		readonly age: number;
	};
