import type {LogEntry} from './log-entry.ts';

/** Finds the last of some writes that writes an item; undefined if none does. */
export function findWrite(writes: LogEntry['writes'], item: string): readonly [string, string] | undefined {
	return writes.findLast(([name]) => name === item);
}
