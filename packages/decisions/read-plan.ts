/**
 * The instance that a read is sent to first.
 *
 * `replica`: a replica, whose answer must still be checked against the required freshness. `primary`: the primary.
 * `none`: no instance that could serve the read is known.
 */
export type ReadPlan =
	| {readonly kind: 'replica'; readonly instance: string}
	| {readonly kind: 'primary'; readonly instance: string}
	| {readonly kind: 'none'};
