/** How a call to another host ended. */
export type CallOutcome<Response> =
	| {readonly kind: 'answered'; readonly response: Response}
	/** Nothing of the call has left this host, and nothing will. */
	| {readonly kind: 'notSent'}
	/** No answer came in time, or the connection was lost; the other host may have got the call. */
	| {readonly kind: 'lost'};
