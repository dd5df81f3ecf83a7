import type {FailureCode} from './failure-code.ts';

const notRunCodes: ReadonlySet<FailureCode> = new Set(['busy', 'lagging', 'readOnly', 'moved', 'tooManyConnections', 'unknownStatement']);

/** Whether an instance's failure means that the statement did not run there. */
export function hasNotRun(code: FailureCode): boolean {
	return notRunCodes.has(code);
}
