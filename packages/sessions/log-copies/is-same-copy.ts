import type {LogCopy} from './log-copy.ts';

/** Whether two copies are those of the same start of an instance. */
export function isSameCopy(a: LogCopy, b: LogCopy): boolean {
	return a.id === b.id && a.born === b.born;
}
