/** The outcome of a call to the store. */
export type StoreOutcome<Value> =
	| {readonly kind: 'done'; readonly value: Value}
	/** The store rejected the call and did nothing. */
	| {readonly kind: 'refused'; readonly reason: string}
	/** A row no longer has its expected version; the store did nothing. */
	| {readonly kind: 'conflict'}
	/** The store no longer has the history since the requested version, or never had it in this era. */
	| {readonly kind: 'forgotten'}
	/** No answer arrived; a change may have been made, or may still be made. */
	| {readonly kind: 'lost'; readonly reason: string};
