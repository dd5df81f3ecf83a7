/**
 * Where a read goes first.
 *
 * `replica`: to an instance whose answer must cover the demand. `primary`: to the primary.
 * `none`: no instance that could serve it is known.
 */
export type ReadPlan =
	| {readonly kind: 'replica'; readonly instance: string}
	| {readonly kind: 'primary'; readonly instance: string}
	| {readonly kind: 'none'};
