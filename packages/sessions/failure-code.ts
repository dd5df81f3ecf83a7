/**
 * Code of the reason why a statement failed.
 *
 * `busy`, `aborted`, `lagging`, `readOnly`, `moved` and `tooManyConnections` guarantee that the attempt had no effect.
 * With `unknown`, `timeout` and `failed` the attempt may have taken effect.
 */
export type FailureCode =
	| 'busy'
	| 'aborted'
	| 'lagging'
	| 'readOnly'
	| 'moved'
	| 'tooManyConnections'
	| 'failed'
	| 'timeout'
	| 'unknown'
	| 'unknownStatement'
	| 'badKey'
	| 'noDatabase'
	| 'tooBig'
	| 'malformed';
