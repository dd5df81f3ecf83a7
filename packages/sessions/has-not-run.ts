import type {FailureCode} from './failure-code.ts';

const notRunCodes: ReadonlySet<FailureCode> = new Set(['busy', 'lagging', 'readOnly', 'moved', 'tooManyConnections', 'unknownStatement']);

/** Whether a failure code of an instance means that the instance did not run the statement. */
export function hasNotRun(code: FailureCode): boolean {
	return notRunCodes.has(code);
}
