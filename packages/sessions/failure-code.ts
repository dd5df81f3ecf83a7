/**
 * Why a statement did not succeed.
 *
 * `busy`, `aborted`, `lagging`, `readOnly`, `moved` and `tooManyConnections` promise that nothing of the attempt
 * is kept. `unknown`, `timeout` and `failed` promise nothing.
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
