/** Outcome of a call to another host. */
export type CallOutcome<Response> =
	| {readonly kind: 'answered'; readonly response: Response}
	/** Nothing of the call was sent, and nothing will be. */
	| {readonly kind: 'notSent'}
	/** No answer arrived in time, or the connection was lost; the other host may have received the call. */
	| {readonly kind: 'lost'};
