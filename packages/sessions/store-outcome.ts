/** The outcome of a call to the store. */
export type StoreOutcome<Value> =
	| {readonly kind: 'done'; readonly value: Value}
	/** Nothing was done. */
	| {readonly kind: 'refused'; readonly reason: string}
	/** A change since the expected versions forbids it; nothing was done. */
	| {readonly kind: 'conflict'}
	/** The store no longer has the history that was asked for. */
	| {readonly kind: 'forgotten'}
	/** No answer; a change may have been made, or may be made later. */
	| {readonly kind: 'lost'; readonly reason: string};
