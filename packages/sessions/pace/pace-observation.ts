/** What the end of a statement says about the pace of an instance. */
export type PaceObservation =
	/** The instance ran a statement; `latency` is in milliseconds, undefined if it says nothing about other statements. */
	| {readonly kind: 'answered'; readonly latency: number | undefined}
	/** The instance has no place in its own queue. */
	| {readonly kind: 'busy'}
	/** No complete answer came in time. */
	| {readonly kind: 'failed'}
	/** No connection could be opened, because the instance cannot be reached. */
	| {readonly kind: 'unreachable'}
	/** The instance begins anew, for example because its zone is used again. */
	| {readonly kind: 'restarted'}
	/** Says nothing about the pace: the statement was not sent, or the instance's log lacks a position. */
	| {readonly kind: 'neutral'};
