/** Outcome of a call to another host. */
export type CallOutcome<Response> =
	| {readonly kind: 'answered'; readonly response: Response}
	/** Nothing of the call was sent, and nothing will be. */
	| {readonly kind: 'notSent'}
	/** Nothing was sent because the call is longer than a message may be. */
	| {readonly kind: 'tooLong'}
	/** No answer arrived in time, or the connection was lost; the other host may have received the call. */
	| {readonly kind: 'lost'};
